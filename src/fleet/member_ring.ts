/**
 * Members in the order of the hashes of their names, which every host computes
 * alike.
 *
 * @module
 */

import { hash32 } from "../common/hash.ts";
import { type Disposable, DisposableStore } from "../common/lifecycle.ts";
import type { Random } from "../common/random.ts";
import type { Membership } from "./membership.ts";
import type { Member } from "./services.ts";

/** One more than the highest hash. */
export const HASH_SPACE = 2 ** 32;

/** A range of hashes, `endHash` excluded. */
export interface RingRange {
  readonly firstHash: number;
  readonly endHash: number;
}

interface RingPosition {
  readonly hash: number;
  readonly member: Member;
}

/** The other members that can be reached, in order. */
export class MemberRing implements Disposable {
  readonly #membership: Membership;
  readonly #selfHash: number;
  readonly #owned = new DisposableStore();
  #positions: readonly RingPosition[] | undefined;

  constructor(membership: Membership) {
    this.#membership = membership;
    this.#selfHash = hash32(membership.self.name);
    this.#owned.add(
      membership.onChange(() => this.#positions = undefined),
    );
  }

  /**
   * Splits a range, without this host, into about `count` parts that hold
   * equally many members.
   */
  split(range: RingRange, count: number): RingRange[] {
    const { firstHash, endHash } = range;
    const isWithin = firstHash <= this.#selfHash && this.#selfHash < endHash;
    if (!isWithin) return this.#splitEvenly(range, count);
    const left = { firstHash, endHash: this.#selfHash };
    const right = { firstHash: this.#selfHash + 1, endHash };
    const leftCount = this.#positionsIn(left).length;
    const total = leftCount + this.#positionsIn(right).length;
    const leftParts = Math.ceil(count * leftCount / Math.max(1, total));
    return [
      ...this.#splitEvenly(left, leftParts),
      ...this.#splitEvenly(right, Math.max(1, count - leftParts)),
    ];
  }

  /** Picks a member of a range at random; a suspect one only as the last. */
  selectRandom(
    range: RingRange,
    options: { readonly exclude: ReadonlySet<string>; readonly random: Random },
  ): Member | undefined {
    const members = this.#positionsIn(range)
      .map((position) => position.member)
      .filter((member) => !options.exclude.has(member.name));
    const healthy = members.filter((member) => member.state !== "suspect");
    const candidates = healthy.length > 0 ? healthy : members;
    return candidates[Math.floor(options.random() * candidates.length)];
  }

  dispose(): void {
    this.#owned.dispose();
  }

  #splitEvenly(range: RingRange, count: number): RingRange[] {
    const positions = this.#positionsIn(range);
    const partCount = Math.min(count, positions.length);
    const parts: RingRange[] = [];
    let firstHash = range.firstHash;
    for (let part = 1; part <= partCount; part += 1) {
      const next = positions[Math.floor(part * positions.length / partCount)];
      const endHash = part === partCount ? range.endHash : next.hash;
      parts.push({ firstHash, endHash });
      firstHash = endHash;
    }
    return parts;
  }

  #positionsIn(range: RingRange): readonly RingPosition[] {
    this.#positions ??= this.#membership.peers()
      .map((member) => ({ hash: hash32(member.name), member }))
      .sort((one, other) => one.hash - other.hash);
    const first = lowerBound(this.#positions, range.firstHash);
    return this.#positions.slice(
      first,
      lowerBound(this.#positions, range.endHash),
    );
  }
}

/** Index of the first place at or after `hash`. */
function lowerBound(positions: readonly RingPosition[], hash: number): number {
  let low = 0;
  let high = positions.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (positions[middle].hash < hash) low = middle + 1;
    else high = middle;
  }
  return low;
}

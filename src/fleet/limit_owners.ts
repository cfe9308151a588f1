/**
 * Which host is the home of a customer's limits. Customers fall into
 * partitions, so that a host asks for many customers in one call, and each
 * partition has its home by rendezvous hashing over the members. A change of
 * members costs work only for those that came or went.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { hash32, rendezvousPick } from "../common/hash.ts";
import { type Disposable, DisposableStore } from "../common/lifecycle.ts";
import type { IMembership, Member } from "./services.ts";

const PARTITION_COUNT = 16;
/** A home that did not answer is passed over for this long, less than a lease. */
const AVOID_MS = 3_000;

/** Collaborators of a {@link LimitOwners}. */
export interface LimitOwnersOptions {
  readonly membership: IMembership;
  readonly clock: Clock;
}

/** When a host stopped being a home, and for how long it had been one. */
export interface LostOwnership {
  readonly atMs: number;
  readonly ownedForMs: number;
}

/** Finds homes and remembers since when this host is one. */
export class LimitOwners implements Disposable {
  readonly #membership: IMembership;
  readonly #clock: Clock;
  readonly #owned = new DisposableStore();
  readonly #avoidUntilMs = new Map<string, number>();
  readonly #ownedSinceMs = new Map<number, number>();
  /** Partitions that another host took over, and how it stood then. */
  readonly #lost = new Map<number, LostOwnership>();
  #members = new Map<string, Member>();
  /** Name of the home of each partition, avoided ones not passed over. */
  #owners: (string | undefined)[] = [];
  #isStale = true;

  constructor(options: LimitOwnersOptions) {
    this.#membership = options.membership;
    this.#clock = options.clock;
    this.#owned.add(
      this.#membership.onChange(() => this.#isStale = true),
    );
  }

  /** The host to ask about a partition. */
  ownerOf(partition: number): Member | undefined {
    this.refresh();
    const name = this.#owners[partition];
    if (name === undefined || !this.#isAvoided(name)) {
      return this.#members.get(name ?? "");
    }
    const names = [...this.#members.keys()]
      .filter((other) => !this.#isAvoided(other));
    return this.#members.get(rendezvousPick(keyOf(partition), names) ?? "");
  }

  isSelf(member: Member): boolean {
    return member.name === this.#membership.self.name;
  }

  /** Passes a home over for a while. */
  avoid(member: Member): void {
    this.#avoidUntilMs.set(member.name, this.#clock.nowMs() + AVOID_MS);
  }

  /** How long this host has been the home of a partition, 0 when it is not. */
  ownedForMs(partition: number): number {
    this.refresh();
    const sinceMs = this.#ownedSinceMs.get(partition);
    return sinceMs === undefined ? 0 : this.#clock.nowMs() - sinceMs;
  }

  /** The home that a partition had, or would have, without this host. */
  ownerWithoutSelf(partition: number): Member | undefined {
    this.refresh();
    const names = [...this.#members.keys()]
      .filter((name) => name !== this.#membership.self.name);
    return this.#members.get(rendezvousPick(keyOf(partition), names) ?? "");
  }

  /** How this host lost a partition last; undefined when it has it or never had. */
  lostOwnership(partition: number): LostOwnership | undefined {
    this.refresh();
    return this.#lost.get(partition);
  }

  /** Takes in how the members have changed. */
  refresh(): void {
    if (!this.#isStale) return;
    this.#isStale = false;
    const before = this.#members;
    const members = this.#membership.members();
    this.#members = new Map(members.map((member) => [member.name, member]));
    const names = [...this.#members.keys()];
    const added = names.filter((name) => !before.has(name));
    for (let partition = 0; partition < PARTITION_COUNT; partition += 1) {
      const owner = this.#owners[partition];
      const isKept = owner !== undefined && this.#members.has(owner);
      const candidates = isKept ? [owner, ...added] : names;
      this.#owners[partition] = rendezvousPick(keyOf(partition), candidates);
      this.#updateOwnership(partition);
    }
  }

  dispose(): void {
    this.#owned.dispose();
  }

  #updateOwnership(partition: number): void {
    const isOwner = this.#owners[partition] === this.#membership.self.name;
    const sinceMs = this.#ownedSinceMs.get(partition);
    const nowMs = this.#clock.nowMs();
    if (!isOwner && sinceMs !== undefined) {
      this.#ownedSinceMs.delete(partition);
      this.#lost.set(partition, { atMs: nowMs, ownedForMs: nowMs - sinceMs });
    } else if (isOwner) this.#lost.delete(partition);
    if (isOwner && sinceMs === undefined) {
      this.#ownedSinceMs.set(partition, nowMs);
    }
  }

  #isAvoided(name: string): boolean {
    const untilMs = this.#avoidUntilMs.get(name);
    if (untilMs === undefined) return false;
    if (untilMs > this.#clock.nowMs()) return true;
    this.#avoidUntilMs.delete(name);
    return false;
  }
}

/** The partition of a customer. */
export function partitionOf(customer: string): number {
  return hash32(customer) % PARTITION_COUNT;
}

function keyOf(partition: number): string {
  return `limits/${partition}`;
}

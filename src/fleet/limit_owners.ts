/**
 * Finds the host that owns a customer's limits. Customers are grouped into
 * partitions, so that a host can request many customers in one call; the owner
 * of a partition is found by rendezvous hashing over the members. After a
 * change of members, only added members and owners that left are considered.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { hash32, rendezvousPick } from "../common/hash.ts";
import { type Disposable, DisposableStore } from "../common/lifecycle.ts";
import type { IMembership, Member } from "./services.ts";

const PARTITION_COUNT = 16;
/** How long an owner that did not reply is avoided; less than a lease. */
const AVOID_MS = 3_000;

export interface LimitOwnersOptions {
  readonly membership: IMembership;
  readonly clock: Clock;
}

/** When this host lost a partition, and for how long it had owned it. */
export interface LostOwnership {
  readonly atMs: number;
  readonly ownedForMs: number;
}

/** Finds owners and records since when this host has owned partitions. */
export class LimitOwners implements Disposable {
  readonly #membership: IMembership;
  readonly #clock: Clock;
  readonly #owned = new DisposableStore();
  readonly #avoidUntilMs = new Map<string, number>();
  readonly #ownedSinceMs = new Map<number, number>();
  /** Partitions whose owner is now another host. */
  readonly #lost = new Map<number, LostOwnership>();
  #members = new Map<string, Member>();
  /** Name of the owner of each partition, whether it is avoided or not. */
  #owners: (string | undefined)[] = [];
  #isStale = true;

  constructor(options: LimitOwnersOptions) {
    this.#membership = options.membership;
    this.#clock = options.clock;
    this.#owned.add(
      this.#membership.onChange(() => this.#isStale = true),
    );
  }

  /** Returns the owner of a partition; avoided hosts are skipped. */
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

  /** Skips a host in {@link ownerOf} for a few seconds. */
  avoid(member: Member): void {
    this.#avoidUntilMs.set(member.name, this.#clock.nowMs() + AVOID_MS);
  }

  /** How long this host has owned a partition; 0 if it does not own it. */
  ownedForMs(partition: number): number {
    this.refresh();
    const sinceMs = this.#ownedSinceMs.get(partition);
    return sinceMs === undefined ? 0 : this.#clock.nowMs() - sinceMs;
  }

  /** Returns the host that would own a partition without this host. */
  ownerWithoutSelf(partition: number): Member | undefined {
    this.refresh();
    const names = [...this.#members.keys()]
      .filter((name) => name !== this.#membership.self.name);
    return this.#members.get(rendezvousPick(keyOf(partition), names) ?? "");
  }

  /** Undefined if this host owns the partition or never has. */
  lostOwnership(partition: number): LostOwnership | undefined {
    this.refresh();
    return this.#lost.get(partition);
  }

  /** Recomputes the owners if the members have changed. */
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

export function partitionOf(customer: string): number {
  return hash32(customer) % PARTITION_COUNT;
}

function keyOf(partition: number): string {
  return `limits/${partition}`;
}

/**
 * Which host is the home of a customer's limits. Customers fall into
 * partitions, so that a host asks for many customers in one call, and each
 * partition has its home by rendezvous hashing over the members.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { hash32, rendezvousPick } from "../common/hash.ts";
import { type Disposable, DisposableStore } from "../common/lifecycle.ts";
import type { IMembership, Member } from "./services.ts";

const PARTITION_COUNT = 32;
/** A home that did not answer is passed over for this long, less than a lease. */
const AVOID_MS = 3_000;

/** Collaborators of a {@link LimitHomes}. */
export interface LimitHomesOptions {
  readonly membership: IMembership;
  readonly clock: Clock;
}

/** Finds homes and remembers since when this host is one. */
export class LimitHomes implements Disposable {
  readonly #membership: IMembership;
  readonly #clock: Clock;
  readonly #owned = new DisposableStore();
  readonly #avoidUntilMs = new Map<string, number>();
  readonly #homeSinceMs = new Map<number, number>();
  #homes: (Member | undefined)[] = [];
  #isStale = true;

  constructor(options: LimitHomesOptions) {
    this.#membership = options.membership;
    this.#clock = options.clock;
    this.#owned.add(
      this.#membership.onChange(() => {
        this.#homes = [];
        this.#isStale = true;
      }),
    );
  }

  /** The host to ask about a partition. */
  homeOf(partition: number): Member | undefined {
    this.#homes[partition] ??= this.#find(partition, { withAvoided: false });
    return this.#homes[partition];
  }

  isSelf(member: Member): boolean {
    return member.name === this.#membership.self.name;
  }

  /** Passes a home over for a while. */
  avoid(member: Member): void {
    const untilMs = this.#clock.nowMs() + AVOID_MS;
    this.#avoidUntilMs.set(member.name, untilMs);
    this.#homes = [];
  }

  /** Looks again at who is home, and drops what was passed over long enough. */
  refresh(): void {
    const nowMs = this.#clock.nowMs();
    for (const [name, untilMs] of this.#avoidUntilMs) {
      if (untilMs > nowMs) continue;
      this.#avoidUntilMs.delete(name);
      this.#homes = [];
    }
    if (!this.#isStale) return;
    this.#isStale = false;
    for (let partition = 0; partition < PARTITION_COUNT; partition += 1) {
      const home = this.#find(partition, { withAvoided: true });
      if (home === undefined || !this.isSelf(home)) {
        this.#homeSinceMs.delete(partition);
      } else if (!this.#homeSinceMs.has(partition)) {
        this.#homeSinceMs.set(partition, nowMs);
      }
    }
  }

  /** How long this host has been the home of a partition, 0 when it is not. */
  homeForMs(partition: number): number {
    const sinceMs = this.#homeSinceMs.get(partition);
    return sinceMs === undefined ? 0 : this.#clock.nowMs() - sinceMs;
  }

  dispose(): void {
    this.#owned.dispose();
  }

  #find(
    partition: number,
    options: { readonly withAvoided: boolean },
  ): Member | undefined {
    const nowMs = this.#clock.nowMs();
    const isAvoided = (member: Member) =>
      (this.#avoidUntilMs.get(member.name) ?? 0) > nowMs;
    const members = this.#membership.members()
      .filter((member) => options.withAvoided || !isAvoided(member));
    const names = members.map((member) => member.name);
    const first = rendezvousPick(`limits/${partition}`, names);
    return members.find((member) => member.name === first);
  }
}

/** The partition of a customer. */
export function partitionOf(customer: string): number {
  return hash32(customer) % PARTITION_COUNT;
}

/**
 * Locks that keep suspected content apart: one suspect on a target, one copy
 * of a content at a time. One host, chosen by name, keeps them all and another
 * stands in for it; a lock lapses at its deadline. When hosts disagree on who
 * keeps the locks, isolation is lost, never an answer.
 *
 * @module
 */

import { z } from "zod";
import type { Clock } from "../common/clock.ts";
import { rendezvousRank } from "../common/hash.ts";
import { type Disposable, DisposableStore } from "../common/lifecycle.ts";
import type { IMembership, IPeerTransport } from "../fleet/services.ts";

const names = z.array(z.string().max(256)).max(1_000);

const lockRequestSchema = z.strictObject({
  names,
  owner: z.string().max(128),
  /** The time at which the locks lapse; one in the past unlocks. */
  expiresAtWallMs: z.number(),
});

type LockRequest = z.infer<typeof lockRequestSchema>;

/** Options of `SuspectLocks`. */
export interface SuspectLocksOptions {
  readonly clock: Clock;
  readonly membership: IMembership;
  readonly transport: IPeerTransport;
}

interface HeldLock {
  readonly owner: string;
  readonly expiresAtWallMs: number;
}

/** Name by which hosts choose the keeper. */
const LOCK_MANAGER_KEY = "suspect-locks";
/** Hosts asked before this host keeps a lock itself. */
const MAX_LOCK_MANAGERS = 2;
const LOCK_TIMEOUT_MS = 100;
const MAX_NAMES_RETURNED = 1_000;

/** Takes and keeps locks. */
export class SuspectLocks implements Disposable {
  readonly #options: SuspectLocksOptions;
  readonly #held = new Map<string, HeldLock>();
  readonly #owned = new DisposableStore();

  constructor(options: SuspectLocksOptions) {
    this.#options = options;
    this.#owned.add(
      options.transport.handle(
        "quarantine.lock",
        (sent) => this.#apply(lockRequestSchema.parse(sent)),
      ),
    );
  }

  dispose(): void {
    this.#owned.dispose();
  }

  /**
   * Takes all of the locks or none. Returns nothing when they were taken, or
   * else the names of all locks that others hold.
   */
  async acquire(
    names: readonly string[],
    options: { owner: string; expiresAtWallMs: number },
  ): Promise<readonly string[]> {
    return await this.#request({ names: [...names], ...options });
  }

  /** Gives the locks back, in the background. */
  release(names: readonly string[], owner: string): void {
    void this.#request({ names: [...names], owner, expiresAtWallMs: 0 });
  }

  async #request(order: LockRequest): Promise<readonly string[]> {
    const { clock, membership, transport } = this.#options;
    const members = membership.members();
    const byName = new Map(members.map((member) => [member.name, member]));
    const ranked = rendezvousRank(LOCK_MANAGER_KEY, [...byName.keys()]);
    for (const manager of ranked.slice(0, MAX_LOCK_MANAGERS)) {
      if (manager === membership.self.name) return this.#apply(order);
      const url = byName.get(manager)?.url ?? "";
      const answered = await transport.call(url, {
        method: "quarantine.lock",
        parameters: order,
      }, { deadlineMs: clock.nowMs() + LOCK_TIMEOUT_MS });
      const held = answered.isOk()
        ? names.safeParse(answered.value)
        : undefined;
      if (held?.success) return held.data;
    }
    return this.#apply(order);
  }

  #apply(order: LockRequest): readonly string[] {
    const wallMs = this.#options.clock.wallMs();
    this.#removeExpired(wallMs);
    if (order.expiresAtWallMs <= wallMs) return this.#unlock(order);
    const isHeldByOther = (name: string) =>
      (this.#held.get(name)?.owner ?? order.owner) !== order.owner;
    if (order.names.some(isHeldByOther)) {
      return [...this.#held.keys()].filter(isHeldByOther).slice(
        0,
        MAX_NAMES_RETURNED,
      );
    }
    const { owner, expiresAtWallMs } = order;
    for (const name of order.names) {
      this.#held.set(name, { owner, expiresAtWallMs });
    }
    return [];
  }

  #unlock({ names, owner }: LockRequest): readonly string[] {
    for (const name of names) {
      if (this.#held.get(name)?.owner === owner) this.#held.delete(name);
    }
    return [];
  }

  #removeExpired(wallMs: number): void {
    for (const [name, { expiresAtWallMs }] of this.#held) {
      if (expiresAtWallMs <= wallMs) this.#held.delete(name);
    }
  }
}

/**
 * Locks that keep suspected content apart: one suspect on a target, one copy
 * of a content at a time. A host chosen by the lock's name keeps it; a lock
 * lapses at its deadline. When hosts disagree on who keeps a lock, isolation
 * is lost, never an answer.
 *
 * @module
 */

import { z } from "zod";
import type { Clock } from "../common/clock.ts";
import { rendezvousRank } from "../common/hash.ts";
import { type Disposable, DisposableStore } from "../common/lifecycle.ts";
import type { IMembership, IPeerTransport } from "../fleet/services.ts";

const lockSchema = z.strictObject({
  name: z.string().max(256),
  owner: z.string().max(128),
  /** The time at which the lock lapses; one in the past unlocks. */
  expiresAtWallMs: z.number(),
});

type Lock = z.infer<typeof lockSchema>;

/** Options of `SuspectLocks`. */
export interface SuspectLocksOptions {
  readonly clock: Clock;
  readonly membership: IMembership;
  readonly transport: IPeerTransport;
}

/** Hosts asked for one lock before this host keeps it itself. */
const KEEPERS_ASKED = 2;
const LOCK_WITHIN_MS = 100;
const SWEEP_SIZE = 1_000;

/** Takes and keeps locks. */
export class SuspectLocks implements Disposable {
  readonly #options: SuspectLocksOptions;
  readonly #kept = new Map<string, Lock>();
  readonly #owned = new DisposableStore();

  constructor(options: SuspectLocksOptions) {
    this.#options = options;
    this.#owned.add(
      options.transport.handle(
        "quarantine.lock",
        (sent) => this.#keep(lockSchema.parse(sent)),
      ),
    );
  }

  dispose(): void {
    this.#owned.dispose();
  }

  /** Takes all of the locks or none; returns the names that others hold. */
  async take(
    names: readonly string[],
    owner: string,
    expiresAtWallMs: number,
  ): Promise<string[]> {
    const taken = await Promise.all(
      names.map((name) => this.#ask({ name, owner, expiresAtWallMs })),
    );
    const busy = names.filter((_, at) => !taken[at]);
    if (busy.length > 0) this.release(names, owner);
    return busy;
  }

  /** Gives the locks back, in the background. */
  release(names: readonly string[], owner: string): void {
    for (const name of names) {
      void this.#ask({ name, owner, expiresAtWallMs: 0 });
    }
  }

  async #ask(lock: Lock): Promise<boolean> {
    const { clock, membership, transport } = this.#options;
    const members = membership.members();
    const byName = new Map(members.map((member) => [member.name, member]));
    const ranked = rendezvousRank(lock.name, [...byName.keys()]);
    for (const keeper of ranked.slice(0, KEEPERS_ASKED)) {
      if (keeper === membership.self.name) return this.#keep(lock);
      const url = byName.get(keeper)?.url ?? "";
      const answered = await transport.call(url, {
        method: "quarantine.lock",
        parameters: lock,
      }, { deadlineMs: clock.nowMs() + LOCK_WITHIN_MS });
      if (answered.isOk()) return answered.value === true;
    }
    return this.#keep(lock);
  }

  /** Answers whether the asker has the lock now. */
  #keep(lock: Lock): boolean {
    const wallMs = this.#options.clock.wallMs();
    const held = this.#kept.get(lock.name);
    const isForeign = held !== undefined && held.owner !== lock.owner &&
      held.expiresAtWallMs > wallMs;
    if (isForeign) return false;
    if (lock.expiresAtWallMs <= wallMs) this.#kept.delete(lock.name);
    else this.#kept.set(lock.name, lock);
    this.#sweep(wallMs);
    return true;
  }

  #sweep(wallMs: number): void {
    if (this.#kept.size < SWEEP_SIZE) return;
    for (const [name, { expiresAtWallMs }] of this.#kept) {
      if (expiresAtWallMs <= wallMs) this.#kept.delete(name);
    }
  }
}

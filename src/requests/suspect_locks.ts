/**
 * Locks that isolate suspect content: one suspect content per target, one copy
 * of a content at a time. The host ranked first by a hash of its name manages
 * all locks, the second one is its backup; a lock expires at its deadline. If
 * hosts disagree on the manager, isolation may fail, but no answer is lost.
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
  /** Expiry of the locks; a time in the past releases them. */
  expiresAtWallMs: z.number(),
});

type LockRequest = z.infer<typeof lockRequestSchema>;

export interface SuspectLocksOptions {
  readonly clock: Clock;
  readonly membership: IMembership;
  readonly transport: IPeerTransport;
}

interface HeldLock {
  readonly owner: string;
  readonly expiresAtWallMs: number;
}

/** Key of the rendezvous hash that selects the lock manager. */
const LOCK_MANAGER_KEY = "suspect-locks";
/** Managers tried before this host applies a request to its own table. */
const MAX_LOCK_MANAGERS = 2;
const LOCK_TIMEOUT_MS = 100;
const MAX_NAMES_RETURNED = 1_000;

/** Client and manager of the locks. */
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
   * Acquires all of the locks or none. Returns an empty list on success, or the
   * names of all locks held by other owners.
   */
  async acquire(
    names: readonly string[],
    options: { owner: string; expiresAtWallMs: number },
  ): Promise<readonly string[]> {
    return await this.#request({ names: [...names], ...options });
  }

  /** Releases the locks in the background. */
  release(names: readonly string[], owner: string): void {
    void this.#request({ names: [...names], owner, expiresAtWallMs: 0 });
  }

  async #request(request: LockRequest): Promise<readonly string[]> {
    const { clock, membership, transport } = this.#options;
    const members = membership.members();
    const byName = new Map(members.map((member) => [member.name, member]));
    const ranked = rendezvousRank(LOCK_MANAGER_KEY, [...byName.keys()]);
    for (const manager of ranked.slice(0, MAX_LOCK_MANAGERS)) {
      if (manager === membership.self.name) return this.#apply(request);
      const url = byName.get(manager)?.url ?? "";
      const answered = await transport.call(url, {
        method: "quarantine.lock",
        parameters: request,
      }, { deadlineMs: clock.nowMs() + LOCK_TIMEOUT_MS });
      const held = answered.isOk()
        ? names.safeParse(answered.value)
        : undefined;
      if (held?.success) return held.data;
    }
    return this.#apply(request);
  }

  #apply(request: LockRequest): readonly string[] {
    const wallMs = this.#options.clock.wallMs();
    this.#removeExpired(wallMs);
    if (request.expiresAtWallMs <= wallMs) return this.#unlock(request);
    const isHeldByOther = (name: string) =>
      (this.#held.get(name)?.owner ?? request.owner) !== request.owner;
    if (request.names.some(isHeldByOther)) {
      return [...this.#held.keys()].filter(isHeldByOther).slice(
        0,
        MAX_NAMES_RETURNED,
      );
    }
    const { owner, expiresAtWallMs } = request;
    for (const name of request.names) {
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

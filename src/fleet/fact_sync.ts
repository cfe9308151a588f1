/**
 * Repairs what the broadcast of facts missed. The digest of the known facts
 * travels along with probes; two hosts whose digests differ exchange the
 * buckets that do.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { type Disposable, DisposableStore } from "../common/lifecycle.ts";
import type { FactStore } from "./fact_store.ts";
import { keyOf } from "./fact_store.ts";
import type { Membership } from "./membership.ts";
import type { Fact, IPeerTransport, Member } from "./services.ts";
import type { FactPush, FactSyncAnswer, SyncRequest } from "./types.ts";

const CALL_TIMEOUT_MS = 1_000;
const MAX_ITEMS = 64;
const FIRST_INTERVAL_MS = 500;
const SETTLE_MS = 400;
const MAX_BUSY_COUNT = 3;
const MAX_INTERVAL_MS = 16_000;

/** Collaborators of a {@link FactSync}. */
export interface FactSyncOptions {
  readonly membership: Membership;
  readonly transport: IPeerTransport;
  readonly clock: Clock;
  readonly store: FactStore;
  /** Takes facts in; returns how many were new. */
  readonly take: (facts: readonly Fact[]) => number;
}

/** Compares and exchanges facts with the members that are probed. */
export class FactSync implements Disposable {
  readonly #options: FactSyncOptions;
  readonly #owned = new DisposableStore();
  #intervalMs = FIRST_INTERVAL_MS;
  #dueMs = 0;
  #busyCount = 0;
  #isPulling = false;

  constructor(options: FactSyncOptions) {
    this.#options = options;
    this.#owned.add(
      options.transport.handle(
        "facts.sync",
        (request) => this.#answer(request as SyncRequest),
      ),
    );
    options.membership.addExtra("facts", {
      read: () => options.store.digest.whole,
      hear: (digest, from) => this.#compare(digest, from),
    });
  }

  dispose(): void {
    this.#owned.dispose();
  }

  #compare(digest: unknown, from: Member): void {
    const { store, clock } = this.#options;
    if (digest === store.digest.whole || this.#isPulling) return;
    if (clock.nowMs() < this.#dueMs) return;
    void this.#pull(from);
  }

  async #pull(from: Member): Promise<void> {
    this.#isPulling = true;
    if (await this.#differsForGood()) {
      const newCount = await this.#exchange(from);
      this.#intervalMs = newCount > 0
        ? FIRST_INTERVAL_MS
        : Math.min(MAX_INTERVAL_MS, this.#intervalMs * 2);
      this.#dueMs = this.#options.clock.nowMs() + this.#intervalMs;
    }
    this.#isPulling = false;
  }

  /**
   * A broadcast under way makes digests differ for a short time. True when no
   * fact comes in meanwhile, or facts keep coming in.
   */
  async #differsForGood(): Promise<boolean> {
    const { store, clock } = this.#options;
    const before = store.digest.whole;
    await clock.sleep(SETTLE_MS);
    const isQuiet = store.digest.whole === before;
    this.#busyCount = isQuiet ? 0 : this.#busyCount + 1;
    if (this.#busyCount < MAX_BUSY_COUNT) return isQuiet;
    this.#busyCount = 0;
    return true;
  }

  /** Returns how many facts were new to either side. */
  async #exchange(from: Member): Promise<number> {
    const { store, take } = this.#options;
    const request: SyncRequest = {
      buckets: store.digest.buckets,
      maxItems: MAX_ITEMS,
    };
    const answer = await this.#call(from, "facts.sync", request);
    if (answer === undefined) return 0;
    const { facts, covered } = answer as FactSyncAnswer;
    const newCount = take(facts);
    const theirs = new Map(facts.map((fact) => [keyOf(fact), fact.sequence]));
    const lacking = store.factsIn(covered, Infinity).items
      .filter((fact) => (theirs.get(keyOf(fact)) ?? -1) < fact.sequence)
      .slice(0, MAX_ITEMS);
    if (lacking.length === 0) return newCount;
    const push: FactPush = { facts: lacking, firstHash: 0, endHash: 0 };
    await this.#call(from, "facts.push", push);
    return newCount + lacking.length;
  }

  #answer(request: SyncRequest): FactSyncAnswer {
    const { store } = this.#options;
    const indexes = store.digest.differing(request.buckets);
    const { items, covered } = store.factsIn(
      indexes,
      Math.min(MAX_ITEMS, request.maxItems),
    );
    return { facts: items, covered };
  }

  async #call(
    to: Member,
    method: string,
    parameters: unknown,
  ): Promise<unknown> {
    const { transport, clock } = this.#options;
    const deadlineMs = clock.nowMs() + CALL_TIMEOUT_MS;
    const outcome = await transport.call(
      to.url,
      { method, parameters },
      { deadlineMs },
    );
    return outcome.isOk() ? outcome.value : undefined;
  }
}

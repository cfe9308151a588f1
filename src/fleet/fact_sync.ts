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
import type { FactPush, FactSyncResponse, SyncRequest } from "./types.ts";

const CALL_TIMEOUT_MS = 1_000;
const MAX_ITEMS = 64;
const MIN_INTERVAL_MS = 500;
const SETTLE_DELAY_MS = 400;
const MAX_CHANGED_CHECKS = 3;
const MAX_INTERVAL_MS = 16_000;

/** Collaborators of a {@link FactSync}. */
export interface FactSyncOptions {
  readonly membership: Membership;
  readonly transport: IPeerTransport;
  readonly clock: Clock;
  readonly store: FactStore;
  /** Takes facts in; returns how many were new. */
  readonly apply: (facts: readonly Fact[]) => number;
}

/** Compares and exchanges facts with the members that are probed. */
export class FactSync implements Disposable {
  readonly #options: FactSyncOptions;
  readonly #owned = new DisposableStore();
  #intervalMs = MIN_INTERVAL_MS;
  #dueMs = 0;
  #changedChecks = 0;
  #isPulling = false;

  constructor(options: FactSyncOptions) {
    this.#options = options;
    this.#owned.add(
      options.transport.handle(
        "facts.sync",
        (request) => this.#handleRequest(request as SyncRequest),
      ),
    );
    options.membership.addExtra("facts", {
      read: () => options.store.digest.combined,
      receive: (digest, from) => this.#compare(digest, from),
    });
  }

  dispose(): void {
    this.#owned.dispose();
  }

  #compare(digest: unknown, from: Member): void {
    const { store, clock } = this.#options;
    if (digest === store.digest.combined || this.#isPulling) return;
    if (clock.nowMs() < this.#dueMs) return;
    void this.#pull(from);
  }

  async #pull(from: Member): Promise<void> {
    this.#isPulling = true;
    if (await this.#isDifferencePersistent()) {
      const newCount = await this.#exchange(from);
      this.#intervalMs = newCount > 0
        ? MIN_INTERVAL_MS
        : Math.min(MAX_INTERVAL_MS, this.#intervalMs * 2);
      this.#dueMs = this.#options.clock.nowMs() + this.#intervalMs;
    }
    this.#isPulling = false;
  }

  /**
   * A broadcast under way makes digests differ for a short time. True when no
   * fact comes in meanwhile, or facts keep coming in.
   */
  async #isDifferencePersistent(): Promise<boolean> {
    const { store, clock } = this.#options;
    const before = store.digest.combined;
    await clock.sleep(SETTLE_DELAY_MS);
    const isUnchanged = store.digest.combined === before;
    this.#changedChecks = isUnchanged ? 0 : this.#changedChecks + 1;
    if (this.#changedChecks < MAX_CHANGED_CHECKS) return isUnchanged;
    this.#changedChecks = 0;
    return true;
  }

  /** Returns how many facts were new to either side. */
  async #exchange(from: Member): Promise<number> {
    const { store, apply: take } = this.#options;
    const request: SyncRequest = {
      buckets: store.digest.buckets,
      maxItems: MAX_ITEMS,
    };
    const response = await this.#call(from, "facts.sync", request);
    if (response === undefined) return 0;
    const { facts, covered } = response as FactSyncResponse;
    const newCount = take(facts);
    const remoteSequences = new Map(
      facts.map((fact) => [keyOf(fact), fact.sequence]),
    );
    const missing = store.factsIn(covered, Infinity).items
      .filter((fact) =>
        (remoteSequences.get(keyOf(fact)) ?? -1) < fact.sequence
      )
      .slice(0, MAX_ITEMS);
    if (missing.length === 0) return newCount;
    const push: FactPush = { facts: missing, firstHash: 0, endHash: 0 };
    await this.#call(from, "facts.push", push);
    return newCount + missing.length;
  }

  #handleRequest(request: SyncRequest): FactSyncResponse {
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

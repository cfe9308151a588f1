/**
 * Repairs what updates missed: two members compare the digests of their tables
 * and exchange the buckets that differ, in messages of bounded size.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { type Disposable, DisposableStore } from "../common/lifecycle.ts";
import {
  type MemberEntry,
  type MemberTable,
  toUpdate,
} from "./member_table.ts";
import type { IPeerTransport } from "./services.ts";
import type { MemberSyncResponse, MemberUpdate, SyncRequest } from "./types.ts";

const CALL_TIMEOUT_MS = 2_000;
/** Items of one answer when a host joins, and when it repairs its table. */
const MAX_JOIN_ITEMS = 200;
const MAX_REPAIR_ITEMS = 40;
const MAX_ROUNDS = 64;
/** Pause after each item that a repair brought, so that repairs stay cheap. */
const PAUSE_MS_PER_ITEM = 100;
const MIN_INTERVAL_MS = 2_000;
const MAX_INTERVAL_MS = 32_000;
const BUSY_DELAY_MS = 10_000;

/** Collaborators of a {@link MemberSync}. */
export interface MemberSyncOptions {
  readonly transport: IPeerTransport;
  readonly clock: Clock;
  readonly table: MemberTable;
  /** Takes in what the other side knew; returns how much of it was new. */
  readonly apply: (updates: readonly MemberUpdate[]) => number;
}

interface PullResult {
  /** Entries that were new to either side. */
  readonly newCount: number;
  readonly itemCount: number;
  readonly covered: readonly number[];
  readonly isWhole: boolean;
}

/** Pulls from a member what differs, and gives back what it lacks. */
export class MemberSync implements Disposable {
  readonly #transport: IPeerTransport;
  readonly #clock: Clock;
  readonly #table: MemberTable;
  readonly #apply: (updates: readonly MemberUpdate[]) => number;
  readonly #owned = new DisposableStore();
  #intervalMs = MIN_INTERVAL_MS;
  #dueMs = 0;

  constructor(options: MemberSyncOptions) {
    this.#transport = options.transport;
    this.#clock = options.clock;
    this.#table = options.table;
    this.#apply = options.apply;
    this.#owned.add(
      this.#transport.handle(
        "members.sync",
        (request) => this.#handleRequest(request as SyncRequest),
      ),
    );
    this.#owned.add(
      this.#transport.handle(
        "members.push",
        (updates) => this.#apply(updates as MemberUpdate[]),
      ),
    );
  }

  /**
   * Pulls unless that was done a short time ago. While updates still travel
   * tables differ anyway, so that a busy host waits longer.
   */
  async pullIfDue(
    entry: MemberEntry,
    options: { readonly isBusy: boolean },
  ): Promise<void> {
    const dueMs = this.#dueMs + (options.isBusy ? BUSY_DELAY_MS : 0);
    if (this.#clock.nowMs() < dueMs) return;
    this.#dueMs = this.#clock.nowMs() + this.#intervalMs;
    const result = await this.#pull(entry, {
      maxItems: MAX_REPAIR_ITEMS,
    });
    this.#intervalMs = result !== undefined && result.newCount > 0
      ? MIN_INTERVAL_MS
      : Math.min(MAX_INTERVAL_MS, this.#intervalMs * 2);
    const pauseMs = (result?.itemCount ?? 0) * PAUSE_MS_PER_ITEM;
    this.#dueMs = this.#clock.nowMs() + Math.max(this.#intervalMs, pauseMs);
  }

  /** Pulls the whole table; false when the member did not answer. */
  async pullAll(entry: MemberEntry): Promise<boolean> {
    const skip: number[] = [];
    for (let round = 0; round < MAX_ROUNDS; round += 1) {
      const result = await this.#pull(entry, {
        maxItems: MAX_JOIN_ITEMS,
        skip,
      });
      if (result === undefined) return false;
      if (result.isWhole) break;
      skip.push(...result.covered);
    }
    return true;
  }

  dispose(): void {
    this.#owned.dispose();
  }

  async #pull(
    entry: MemberEntry,
    options: Omit<SyncRequest, "buckets">,
  ): Promise<PullResult | undefined> {
    const response = await this.#request(entry, options);
    if (response === undefined) return undefined;
    const newLocalCount = this.#apply(response.updates);
    const newRemoteCount = await this.#pushMissing(entry, response);
    return {
      newCount: newLocalCount + newRemoteCount,
      itemCount: response.updates.length,
      covered: response.covered,
      isWhole: response.isWhole,
    };
  }

  async #request(
    entry: MemberEntry,
    options: Omit<SyncRequest, "buckets">,
  ): Promise<MemberSyncResponse | undefined> {
    const { buckets } = this.#table.digest;
    const parameters: SyncRequest = { buckets, ...options };
    const outcome = await this.#call(entry, "members.sync", parameters);
    return outcome as MemberSyncResponse | undefined;
  }

  #handleRequest(request: SyncRequest): MemberSyncResponse {
    const skip = new Set(request.skip);
    const indexes = this.#table.digest.differing(request.buckets)
      .filter((index) => !skip.has(index));
    const maxItems = Math.min(MAX_JOIN_ITEMS, request.maxItems);
    const { items, covered } = this.#table.entriesIn(indexes, maxItems);
    // A member that is down is no news to a host that does not know it.
    const known = items.filter((entry) => entry.state !== "down");
    return {
      updates: known.map(toUpdate),
      covered,
      isWhole: covered.length === indexes.length,
    };
  }

  async #pushMissing(
    entry: MemberEntry,
    response: MemberSyncResponse,
  ): Promise<number> {
    const remoteUpdates = new Map(
      response.updates.map((update) => [update.name, update]),
    );
    const { items } = this.#table.entriesIn(response.covered, Infinity);
    const missing = items.filter((item) => {
      const remoteUpdate = remoteUpdates.get(item.name);
      if (remoteUpdate === undefined) return item.state !== "down";
      return remoteUpdate.incarnation !== item.incarnation ||
        remoteUpdate.state !== item.state;
    }).slice(0, MAX_REPAIR_ITEMS).map(toUpdate);
    if (missing.length === 0) return 0;
    const outcome = await this.#call(entry, "members.push", missing);
    return typeof outcome === "number" ? outcome : 0;
  }

  async #call(
    entry: MemberEntry,
    method: string,
    parameters: unknown,
  ): Promise<unknown> {
    const outcome = await this.#transport.call(
      entry.address.url,
      { method, parameters },
      { deadlineMs: this.#clock.nowMs() + CALL_TIMEOUT_MS },
    );
    return outcome.isOk() ? outcome.value : undefined;
  }
}

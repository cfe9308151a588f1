/**
 * Polls the platform's list of hosts and targets once for everybody on this
 * host. An outage of the list changes nothing: the last list stays. The longer
 * the list, the more seldom each host reads it, so that reading it costs a host
 * the same at every size; what one host reads is spread to the others.
 *
 * @module
 */

import { type Clock, systemClock } from "../common/clock.ts";
import { Emitter } from "../common/emitter.ts";
import type { Disposable } from "../common/lifecycle.ts";
import type { Random } from "../common/random.ts";
import type { IHostListClient } from "../clients/services.ts";
import type { ListedHost } from "../clients/types.ts";
import type { IHostListWatcher } from "./services.ts";

const MIN_POLL_INTERVAL_MS = 1_000;
/** What reading the list may cost a host. */
const MAX_LIST_BYTES_PER_S = 1_000;
const ENTRY_BYTES = 150;
const DEFAULT_CALL_TIMEOUT_MS = 2_000;
const JITTER_FRACTION = 0.25;
const MAX_BACKOFF_FACTOR = 8;

/** Collaborators and defaults of a {@link HostListWatcher}. */
export interface HostListWatcherOptions {
  readonly client: IHostListClient;
  readonly clock?: Clock;
  readonly random?: Random;
  /** Mean time between two reads, asked again before each wait. */
  readonly pollIntervalMs?: () => number;
  readonly callTimeoutMs?: number;
}

/** Reads the list at jittered intervals and backs off while it fails. */
export class HostListWatcher implements IHostListWatcher, Disposable {
  readonly #client: IHostListClient;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #pollIntervalMs: () => number;
  readonly #callTimeoutMs: number;
  readonly #lists = new Emitter<readonly ListedHost[]>();
  #latest: readonly ListedHost[] = [];
  #failureCount = 0;

  readonly onList = this.#lists.event;

  constructor(options: HostListWatcherOptions) {
    this.#client = options.client;
    this.#clock = options.clock ?? systemClock;
    this.#random = options.random ?? Math.random;
    this.#pollIntervalMs = options.pollIntervalMs ??
      (() => pollIntervalMsFor(this.#latest.length));
    this.#callTimeoutMs = options.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
  }

  /** The last list read; empty before the first. */
  get latest(): readonly ListedHost[] {
    return this.#latest;
  }

  /** Polls until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.poll(signal);
      await this.#clock.sleep(this.#nextWaitMs(), signal);
    }
  }

  /** Reads the list once; a failure keeps the last one. */
  async poll(signal?: AbortSignal): Promise<void> {
    const deadlineMs = this.#clock.nowMs() + this.#callTimeoutMs;
    const outcome = await this.#client.list({ deadlineMs, signal });
    if (outcome.isErr()) {
      this.#failureCount += 1;
      return;
    }
    this.#failureCount = 0;
    this.#latest = outcome.value;
    this.#lists.fire(outcome.value);
  }

  dispose(): void {
    this.#lists.dispose();
  }

  #nextWaitMs(): number {
    const jitter = 1 + JITTER_FRACTION * (2 * this.#random() - 1);
    const backoff = Math.min(MAX_BACKOFF_FACTOR, 2 ** this.#failureCount);
    return this.#pollIntervalMs() * jitter * backoff;
  }
}

/** Mean time between two reads of a list by one host. */
function pollIntervalMsFor(entryCount: number): number {
  const budgetIntervalMs = entryCount * ENTRY_BYTES * 1_000 /
    MAX_LIST_BYTES_PER_S;
  return Math.max(MIN_POLL_INTERVAL_MS, budgetIntervalMs);
}

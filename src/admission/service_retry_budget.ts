/**
 * Limits retries, the sends beyond each request's first, over all hosts without
 * communication between them. Each host may retry a share of its own recent
 * requests, plus its part of the slack that all hosts share.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";

/** Number of slices of the window in which requests are counted. */
const SLICES = 20;

export interface RetryLimits {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Retries allowed beyond the ratio, for all hosts together. */
  readonly slack: number;
}

export interface ServiceRetryBudgetOptions extends RetryLimits {
  readonly clock: Clock;
  readonly windowMs: number;
  /** An upper bound on the number of hosts. */
  readonly hostLimit: () => number;
  /**
   * Time from which the host has its part of the slack; at once by default. A
   * host that starts may have spent it in the process before.
   */
  readonly slackFromMs?: number;
}

interface Slice {
  index: number;
  requests: number;
}

/** The retry budget of one service at one host. */
export class ServiceRetryBudget {
  readonly #options: ServiceRetryBudgetOptions;
  /** Slices drop requests up to one slice early, which only lowers the limit. */
  readonly #slices: Slice[] = Array.from(
    { length: SLICES },
    () => ({ index: -Infinity, requests: 0 }),
  );
  /** Times of the retries in the window, oldest first; as many as the limit at most. */
  #retriesAtMs: number[] = [];
  #limits: RetryLimits;

  constructor(options: ServiceRetryBudgetOptions) {
    this.#options = options;
    this.#limits = options;
  }

  /** Replaces the limits; the retries of the window still count. */
  setLimits(limits: RetryLimits): void {
    this.#limits = limits;
  }

  recordRequest(): void {
    this.#currentSlice().requests++;
  }

  /** Acquires one retry; returns false if the budget is exhausted. */
  tryAcquire(): boolean {
    if (!this.hasRetry()) return false;
    this.#retriesAtMs.push(this.#options.clock.nowMs());
    return true;
  }

  /** Whether a retry could be acquired now. */
  hasRetry(): boolean {
    const { clock, windowMs } = this.#options;
    const nowMs = clock.nowMs();
    this.#retriesAtMs = this.#retriesAtMs.filter((atMs) =>
      atMs > nowMs - windowMs
    );
    const limit = this.#countRequests() * this.#limits.ratio +
      this.#slackAt(nowMs);
    return this.#retriesAtMs.length + 1 <= limit;
  }

  #slackAt(nowMs: number): number {
    const { hostLimit, slackFromMs = -Infinity } = this.#options;
    return nowMs < slackFromMs ? 0 : this.#limits.slack / hostLimit();
  }

  #countRequests(): number {
    const current = this.#currentSlice();
    return this.#slices.reduce(
      (sum, { index, requests }) =>
        index > current.index - SLICES ? sum + requests : sum,
      0,
    );
  }

  #currentSlice(): Slice {
    const { clock, windowMs } = this.#options;
    const index = Math.floor(clock.nowMs() / (windowMs / SLICES));
    const slice = this.#slices[((index % SLICES) + SLICES) % SLICES];
    if (slice.index !== index) {
      slice.index = index;
      slice.requests = 0;
    }
    return slice;
  }
}

/**
 * Limits retries, the sends beyond each request's first, over all hosts without
 * communication between them. Each host may retry a share of its own recent
 * requests, plus its part of the slack that all hosts share.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";

/** Number of buckets of the window, which slides by one bucket. */
const BUCKETS = 20;

export interface ServiceRetryBudgetOptions {
  readonly clock: Clock;
  readonly windowMs: number;
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Retries allowed beyond the ratio, for all hosts together. */
  readonly slack: number;
  /** An upper bound on the number of hosts. */
  readonly hostLimit: () => number;
}

interface Bucket {
  index: number;
  requests: number;
  retries: number;
}

/** The retry budget of one service at one host. */
export class ServiceRetryBudget {
  readonly #options: ServiceRetryBudgetOptions;
  readonly #buckets: Bucket[] = Array.from(
    { length: BUCKETS },
    () => ({ index: -Infinity, requests: 0, retries: 0 }),
  );

  constructor(options: ServiceRetryBudgetOptions) {
    this.#options = options;
  }

  recordRequest(): void {
    this.#currentBucket().requests++;
  }

  /** Acquires one retry; returns false if the budget is exhausted. */
  tryAcquire(): boolean {
    const { ratio, slack, hostLimit } = this.#options;
    const current = this.#currentBucket();
    let requests = 0;
    let retries = 0;
    for (const bucket of this.#buckets) {
      if (bucket.index <= current.index - BUCKETS) continue;
      requests += bucket.requests;
      retries += bucket.retries;
    }
    if (retries + 1 > requests * ratio + slack / hostLimit()) return false;
    current.retries++;
    return true;
  }

  #currentBucket(): Bucket {
    const { clock, windowMs } = this.#options;
    const index = Math.floor(clock.nowMs() / (windowMs / BUCKETS));
    const bucket = this.#buckets[((index % BUCKETS) + BUCKETS) % BUCKETS];
    if (bucket.index !== index) {
      bucket.index = index;
      bucket.requests = 0;
      bucket.retries = 0;
    }
    return bucket;
  }
}

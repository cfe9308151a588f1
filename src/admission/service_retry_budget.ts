/**
 * Bounds the sends beyond each request's first, summed over all hosts without
 * any exchange: a host may repeat a share of its own recent requests, and its
 * part of the slack that the deployment grants to all of them together.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";

/** Parts of a window that are counted apart; a window slides by one of them. */
const BUCKETS = 20;

/** Options of a budget. */
export interface ServiceRetryBudgetOptions {
  readonly clock: Clock;
  readonly windowMs: number;
  /** Repeats for each request. */
  readonly ratio: number;
  /** Repeats beyond the ratio, for all hosts together. */
  readonly slack: number;
  /** An upper bound on the number of hosts. */
  readonly hostLimit: () => number;
}

interface Bucket {
  index: number;
  requests: number;
  retries: number;
}

/** The budget of one service at one host. */
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

  /** Takes one repeat; false where the budget is used up. */
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

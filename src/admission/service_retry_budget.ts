/**
 * Limits retries, the sends beyond each request's first, over all hosts without
 * communication between them. Each host may retry a share of its own recent
 * requests, plus its part of the slack that all hosts share.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";

/** Number of slices of the window, which slides by one slice at a time. */
const SLICES = 20;

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

interface Slice {
  index: number;
  requests: number;
  retries: number;
}

/** The retry budget of one service at one host. */
export class ServiceRetryBudget {
  readonly #options: ServiceRetryBudgetOptions;
  readonly #slices: Slice[] = Array.from(
    { length: SLICES },
    () => ({ index: -Infinity, requests: 0, retries: 0 }),
  );

  constructor(options: ServiceRetryBudgetOptions) {
    this.#options = options;
  }

  recordRequest(): void {
    this.#currentSlice().requests++;
  }

  /** Acquires one retry; returns false if the budget is exhausted. */
  tryAcquire(): boolean {
    const { ratio, slack, hostLimit } = this.#options;
    const current = this.#currentSlice();
    let requests = 0;
    let retries = 0;
    for (const slice of this.#slices) {
      if (slice.index <= current.index - SLICES) continue;
      requests += slice.requests;
      retries += slice.retries;
    }
    if (retries + 1 > requests * ratio + slack / hostLimit()) return false;
    current.retries++;
    return true;
  }

  #currentSlice(): Slice {
    const { clock, windowMs } = this.#options;
    const index = Math.floor(clock.nowMs() / (windowMs / SLICES));
    const slice = this.#slices[((index % SLICES) + SLICES) % SLICES];
    if (slice.index !== index) {
      slice.index = index;
      slice.requests = 0;
      slice.retries = 0;
    }
    return slice;
  }
}

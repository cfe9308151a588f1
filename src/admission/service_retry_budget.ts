/**
 * Bounds the sends beyond each request's first, summed over all hosts without
 * any exchange: a host may repeat a share of its own recent requests, and its
 * part of the slack that the deployment grants to all of them together.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";

/** Parts of a window that are counted apart; a window slides by one of them. */
const SLICES = 20;

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

interface Slice {
  index: number;
  requests: number;
  retries: number;
}

/** The budget of one service at one host. */
export class ServiceRetryBudget {
  readonly #options: ServiceRetryBudgetOptions;
  readonly #slices: Slice[] = Array.from(
    { length: SLICES },
    () => ({ index: -Infinity, requests: 0, repeats: 0 }),
  );

  constructor(options: ServiceRetryBudgetOptions) {
    this.#options = options;
  }

  recordRequest(): void {
    this.#currentSlice().requests++;
  }

  /** Takes one repeat; false where the budget is used up. */
  tryAcquire(): boolean {
    const { ratio, slack, hostLimit } = this.#options;
    const current = this.#currentSlice();
    let requests = 0;
    let repeats = 0;
    for (const slice of this.#slices) {
      if (slice.index <= current.index - SLICES) continue;
      requests += slice.requests;
      repeats += slice.retries;
    }
    if (repeats + 1 > requests * ratio + slack / hostLimit()) return false;
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

/**
 * A budget for retries, so that an outage does not feed itself: a host's
 * retries are at most a share of its first tries, past a burst that covers
 * the loss of some targets.
 *
 * @module
 */

/** Options of `RetryBudget`. */
export interface RetryBudgetOptions {
  /** Retries earned by each first try. */
  readonly retriesPerFirstAttempt?: number;
  /** Retries that can be saved up; also what a new host starts with. */
  readonly burst?: number;
}

/** A token bucket filled by first tries and emptied by retries. */
export class RetryBudget {
  readonly #retriesPerFirstAttempt: number;
  readonly #burst: number;
  #tokens: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.#retriesPerFirstAttempt = options.retriesPerFirstAttempt ?? 0.2;
    this.#burst = options.burst ?? 100;
    this.#tokens = this.#burst;
  }

  /** Notes a request's first try. */
  recordFirstAttempt(): void {
    this.#tokens = Math.min(
      this.#burst,
      this.#tokens + this.#retriesPerFirstAttempt,
    );
  }

  /** Takes one retry from the budget, or returns false when it is spent. */
  tryConsumeRetry(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}

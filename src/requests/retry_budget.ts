/**
 * Retry budget that prevents retries from amplifying an outage: beyond a burst
 * that covers the loss of some targets, a host's retries are limited to a
 * fraction of its first attempts.
 *
 * @module
 */

export interface RetryBudgetOptions {
  /** Tokens added per first attempt. */
  readonly retriesPerFirstAttempt?: number;
  /** Capacity of the bucket, in retries; also its initial level. */
  readonly burst?: number;
}

/** Token bucket that first attempts fill and retries drain. */
export class RetryBudget {
  readonly #retriesPerFirstAttempt: number;
  readonly #burst: number;
  #tokens: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.#retriesPerFirstAttempt = options.retriesPerFirstAttempt ?? 0.2;
    this.#burst = options.burst ?? 100;
    this.#tokens = this.#burst;
  }

  recordFirstAttempt(): void {
    this.#tokens = Math.min(
      this.#burst,
      this.#tokens + this.#retriesPerFirstAttempt,
    );
  }

  /** Consumes one retry; returns false if the budget is exhausted. */
  tryConsumeRetry(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}

/**
 * Token bucket that limits appends to the log. The refill rate is read at each
 * use, since it depends on the number of hosts that share the budget.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";

export interface AppendBudgetOptions {
  readonly clock: Clock;
  /** Current refill rate, in appends per second. */
  readonly ratePerS: () => number;
  /** Capacity of the bucket, in appends. */
  readonly burst: number;
  /** Initial level in appends; `burst` by default. */
  readonly initial?: number;
}

/** Token bucket with one token per append. */
export class AppendBudget {
  readonly #options: AppendBudgetOptions;
  #tokens: number;
  #refilledAtMs: number;

  constructor(options: AppendBudgetOptions) {
    this.#options = options;
    this.#tokens = options.initial ?? options.burst;
    this.#refilledAtMs = options.clock.nowMs();
  }

  /** Milliseconds until the next append is allowed; 0 if it is allowed now. */
  waitMs(): number {
    this.#refill();
    if (this.#tokens >= 1) return 0;
    return Math.ceil((1 - this.#tokens) * 1_000 / this.#options.ratePerS());
  }

  /**
   * Consumes one token, for an append by this host after `waitMs` returned 0 or
   * for an append by another host that was read from the stream. The level may
   * become negative, by at most the tokens of one second.
   */
  consume(): void {
    this.#refill();
    this.#tokens = Math.max(-this.#options.ratePerS(), this.#tokens - 1);
  }

  #refill(): void {
    const { clock, ratePerS, burst } = this.#options;
    const nowMs = clock.nowMs();
    const earned = (nowMs - this.#refilledAtMs) * ratePerS() / 1_000;
    this.#tokens = Math.min(burst, this.#tokens + earned);
    this.#refilledAtMs = nowMs;
  }
}

/**
 * A token bucket for appends to the log, whose rate follows the number of
 * hosts that share it.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";

/** Options of `AppendBudget`. */
export interface AppendBudgetOptions {
  readonly clock: Clock;
  /** Appends a second that this bucket may make now. */
  readonly ratePerS: () => number;
  /** Appends that can be saved up. */
  readonly burst: number;
  /** Appends saved up at the start; the burst by default. */
  readonly initial?: number;
}

/** Tells when the next append may be made. */
export class AppendBudget {
  readonly #options: AppendBudgetOptions;
  #tokens: number;
  #refilledAtMs: number;

  constructor(options: AppendBudgetOptions) {
    this.#options = options;
    this.#tokens = options.initial ?? options.burst;
    this.#refilledAtMs = options.clock.nowMs();
  }

  /** Milliseconds until an append is allowed; 0 when it is allowed now. */
  waitMs(): number {
    this.#refill();
    if (this.#tokens >= 1) return 0;
    return Math.ceil((1 - this.#tokens) * 1_000 / this.#options.ratePerS());
  }

  /**
   * Takes one append, this host's own after `waitMs` returned 0, or another
   * host's that was seen in the stream. The debt is at most one second's rate.
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

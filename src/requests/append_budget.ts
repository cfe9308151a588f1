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
}

/** Tells when the next append may be made. */
export class AppendBudget {
  readonly #options: AppendBudgetOptions;
  #tokens: number;
  #countedMs: number;

  constructor(options: AppendBudgetOptions) {
    this.#options = options;
    this.#tokens = options.burst;
    this.#countedMs = options.clock.nowMs();
  }

  /** Milliseconds until an append is allowed; 0 when it is allowed now. */
  waitMs(): number {
    this.#refill();
    if (this.#tokens >= 1) return 0;
    return Math.ceil((1 - this.#tokens) * 1_000 / this.#options.ratePerS());
  }

  /** Takes one append; call it only after `waitMs` returned 0. */
  take(): void {
    this.#refill();
    this.#tokens -= 1;
  }

  #refill(): void {
    const { clock, ratePerS, burst } = this.#options;
    const nowMs = clock.nowMs();
    const earned = (nowMs - this.#countedMs) * ratePerS() / 1_000;
    this.#tokens = Math.min(burst, this.#tokens + earned);
    this.#countedMs = nowMs;
  }
}

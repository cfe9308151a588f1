/**
 * Bounds how many calls a second a service makes, so that a burst of work
 * costs time and not the host.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";

/** Settings of a {@link CallRateLimiter}. */
export interface CallRateLimiterOptions {
  readonly clock: Clock;
  readonly callsPerS: number;
  /** Calls that may go at once after a quiet time. */
  readonly burst: number;
  /** Calls that may wait; a further one is refused. */
  readonly maxWaiting: number;
}

/** A token bucket with a bounded queue. */
export class CallRateLimiter {
  readonly #clock: Clock;
  readonly #msPerCall: number;
  readonly #burstMs: number;
  readonly #maxWaitMs: number;
  /** Time at which the bucket would be full again. */
  #fullAtMs = 0;

  constructor(options: CallRateLimiterOptions) {
    this.#clock = options.clock;
    this.#msPerCall = 1_000 / options.callsPerS;
    this.#burstMs = options.burst * this.#msPerCall;
    this.#maxWaitMs = options.maxWaiting * this.#msPerCall;
  }

  /** Resolves with true when the call may go, or at once with false. */
  async acquire(): Promise<boolean> {
    const nowMs = this.#clock.nowMs();
    const fullAtMs = Math.max(this.#fullAtMs, nowMs) + this.#msPerCall;
    const waitMs = fullAtMs - nowMs - this.#burstMs;
    if (waitMs > this.#maxWaitMs) return false;
    this.#fullAtMs = fullAtMs;
    if (waitMs > 0) await this.#clock.sleep(waitMs);
    return true;
  }
}

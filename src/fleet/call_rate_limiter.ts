/**
 * Bounds the calls per second that a service makes, so that a burst of work is
 * delayed instead of overloading the host.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";

export interface CallRateLimiterOptions {
  readonly clock: Clock;
  readonly callsPerS: number;
  /** Calls that may be made at once after an idle period. */
  readonly burst: number;
  /** Calls that may wait; further ones are rejected. */
  readonly maxWaiting: number;
}

/** A token bucket with a bounded queue. */
export class CallRateLimiter {
  readonly #clock: Clock;
  readonly #msPerCall: number;
  readonly #burstMs: number;
  readonly #maxWaitMs: number;
  /** Time at which the bucket is full again. */
  #fullAtMs = 0;

  constructor(options: CallRateLimiterOptions) {
    this.#clock = options.clock;
    this.#msPerCall = 1_000 / options.callsPerS;
    this.#burstMs = options.burst * this.#msPerCall;
    this.#maxWaitMs = options.maxWaiting * this.#msPerCall;
  }

  /** Resolves to true once the call may be made; false if the queue is full. */
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

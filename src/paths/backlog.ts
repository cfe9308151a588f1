/**
 * Tracks the outstanding work that this host has assigned to a serial resource,
 * such as a target's prefill or a link between failure domains. When a target
 * is lost, many requests repath at the same moment; the backlog spreads them
 * over all targets that can replace it.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";

/** Work in milliseconds, which drains in real time. */
export class Backlog {
  readonly #clock: Clock;
  #endMs = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get remainingMs(): number {
    return Math.max(0, this.#endMs - this.#clock.nowMs());
  }

  add(workMs: number): void {
    this.#endMs = Math.max(this.#endMs, this.#clock.nowMs()) + workMs;
  }
}

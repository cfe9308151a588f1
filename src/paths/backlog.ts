/**
 * Time for which something that serves one request after another is busy with
 * what this host gave it: a target that reads contexts, a pipe between failure
 * domains. Many requests change their path at the same moment when a target is
 * lost; the backlog spreads them over all that can take its place.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";

/** A backlog that shrinks as time passes. */
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

/**
 * Time that a target still needs for the contexts which this host gave it to
 * read. Many requests change their path at the same moment when a target is
 * lost; the backlog spreads them over all that can take its place.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";

/** A backlog that shrinks as time passes. */
export class ReadBacklog {
  readonly #clock: Clock;
  #endMs = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get leftMs(): number {
    return Math.max(0, this.#endMs - this.#clock.nowMs());
  }

  add(readMs: number): void {
    this.#endMs = Math.max(this.#endMs, this.#clock.nowMs()) + readMs;
  }
}

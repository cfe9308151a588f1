/**
 * Age of the records read last. The monotonic clock stops while the machine is
 * suspended and the wall clock may jump; both show as a change of the difference
 * between the two clocks. Either invalidates the watermark, since the elapsed
 * time is then unknown.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";

/** Drift between the clocks that delayed timers and clock discipline can cause. */
const MAX_DRIFT_MS = 250;

/** Simultaneous readings of the monotonic and the wall clock. */
export interface ClockReading {
  readonly nowMs: number;
  readonly wallMs: number;
}

export function readClocks(clock: Clock): ClockReading {
  return { nowMs: clock.nowMs(), wallMs: clock.wallMs() };
}

export function addMs(reading: ClockReading, durationMs: number): ClockReading {
  return {
    nowMs: reading.nowMs + durationMs,
    wallMs: reading.wallMs + durationMs,
  };
}

/** Time up to which all records of a log are known. */
export class Watermark {
  readonly #clock: Clock;
  #reading: ClockReading | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Advances the watermark to `reading`; an earlier reading than the current
   * one is ignored.
   */
  renew(reading: ClockReading): void {
    const current = this.#reading;
    const isOlder = current !== undefined && this.ageMs !== Infinity &&
      reading.nowMs < current.nowMs;
    if (!isOlder) this.#reading = reading;
  }

  /** Infinite before the first reading, and when the elapsed time is unknown. */
  get ageMs(): number {
    if (this.#reading === undefined) return Infinity;
    const now = readClocks(this.#clock);
    const ageMs = now.nowMs - this.#reading.nowMs;
    const driftMs = now.wallMs - this.#reading.wallMs - ageMs;
    return Math.abs(driftMs) > MAX_DRIFT_MS ? Infinity : ageMs;
  }
}

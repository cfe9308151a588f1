/**
 * The age of what was read last. The monotonic clock stands still while a
 * machine is suspended, and the wall clock may jump; a suspension shows as a
 * change of the difference between the two, and so does a jump. Either ends the
 * proof, since how much time has passed is then unknown.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";

/** Difference that slow timers and a disciplined wall clock may make. */
const MAX_DRIFT_MS = 250;

/** A moment on both clocks. */
export interface ClockReading {
  readonly nowMs: number;
  readonly wallMs: number;
}

/** The present moment on both clocks. */
export function readClocks(clock: Clock): ClockReading {
  return { nowMs: clock.nowMs(), wallMs: clock.wallMs() };
}

/** The moment `spanMs` later, on both clocks. */
export function addMs(moment: ClockReading, spanMs: number): ClockReading {
  return { nowMs: moment.nowMs + spanMs, wallMs: moment.wallMs + spanMs };
}

/** A proof that ages. */
export class Watermark {
  readonly #clock: Clock;
  #reading: ClockReading | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Takes a new proof, made at `moment`; an older one than the present changes nothing. */
  renew(moment: ClockReading): void {
    const current = this.#reading;
    const isOlder = current !== undefined && this.ageMs !== Infinity &&
      moment.nowMs < current.nowMs;
    if (!isOlder) this.#reading = moment;
  }

  /** Infinite before the first proof and after one that can't be dated. */
  get ageMs(): number {
    if (this.#reading === undefined) return Infinity;
    const now = readClocks(this.#clock);
    const ageMs = now.nowMs - this.#reading.nowMs;
    const driftMs = now.wallMs - this.#reading.wallMs - ageMs;
    return Math.abs(driftMs) > MAX_DRIFT_MS ? Infinity : ageMs;
  }
}

/**
 * The pace of a stream's events, which tells when the next one is overdue.
 *
 * @module
 */

/** Wait for the first event before the path is checked; prompts take some 100 ms. */
const FIRST_EVENT_OVERDUE_MS = 250;
/** The longest such wait while checks find nothing. */
const MAX_FIRST_EVENT_OVERDUE_MS = 500;
/** Least gap before a check of a fast stream; events arrive every 20 to 60 ms. */
const EVENT_OVERDUE_MS = 95;
/** For slower streams, the gap before a check as a multiple of the mean gap. */
const OVERDUE_GAP_FACTOR = 2.5;
/** Longest gap before a check, however slow the stream is. */
const MAX_EVENT_OVERDUE_MS = 300;
/** Gap before a check or repath if a stage is unresponsive or suspect. */
export const SUSPECT_OVERDUE_MS = 50;
/** After a repath, the context is read again before the next event. */
const REPATH_GRACE_MS = 250;
/** Weight of the latest gap in the moving average. */
const GAP_WEIGHT = 0.3;
/** Mean gap above which events are late; close to the limit of a timely stream. */
const SLOW_GAP_MS = 150;

export interface EventPaceOptions {
  readonly startMs: number;
}

export class EventPace {
  #progressMs: number;
  #meanGapMs = 0;
  #hasEvents = false;

  constructor({ startMs }: EventPaceOptions) {
    this.#progressMs = startMs;
  }

  /** Whether the gaps are too long for a timely stream. */
  get isLate(): boolean {
    return this.#meanGapMs > SLOW_GAP_MS;
  }

  /** Time since the last event, or since the stream began or resumed. */
  gapMs(nowMs: number): number {
    return nowMs - this.#progressMs;
  }

  /** Time of the last event, or of the start or resumption of the stream. */
  get progressMs(): number {
    return this.#progressMs;
  }

  /** Gap from which the next event is overdue; `patience` of 1 is usual. */
  overdueMs(hasSuspect: boolean, patience: number): number {
    if (!this.#hasEvents) {
      return Math.min(
        MAX_FIRST_EVENT_OVERDUE_MS,
        FIRST_EVENT_OVERDUE_MS * patience,
      );
    }
    if (hasSuspect) return SUSPECT_OVERDUE_MS;
    const usualMs = Math.max(
      EVENT_OVERDUE_MS,
      this.#meanGapMs * OVERDUE_GAP_FACTOR,
    );
    return Math.min(MAX_EVENT_OVERDUE_MS, usualMs * patience);
  }

  recordEvent(nowMs: number): void {
    if (this.#hasEvents) {
      this.#meanGapMs += (this.gapMs(nowMs) - this.#meanGapMs) * GAP_WEIGHT;
    }
    this.#hasEvents = true;
    this.#progressMs = nowMs;
  }

  /** Restarts the gap after a pause that the targets did not cause. */
  resume(nowMs: number): void {
    this.#progressMs = nowMs;
  }

  /** Allows for the time that a new path needs before its first event. */
  recordRepath(nowMs: number): void {
    this.#progressMs = Math.max(
      this.#progressMs,
      nowMs + REPATH_GRACE_MS - EVENT_OVERDUE_MS,
    );
  }
}

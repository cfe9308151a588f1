/**
 * Intervals of a run: how much of a time is left beside faults.
 *
 * @module
 */

import type { Interval } from "./types.ts";

/** Tolerance between timestamps of one machine, which differ by scheduling delays. */
export const TIMESTAMP_TOLERANCE_MS = 250;

/** Time after a store outage in which hosts repeat calls that were in progress. */
const STORE_RECONNECT_MS = 1_500;

/** Outages of the store, each with the time in which hosts reach it again. */
export function withReconnection(faults: readonly Interval[]): Interval[] {
  return faults.map(({ startMs, endMs }) => ({
    startMs,
    endMs: endMs + STORE_RECONNECT_MS,
  }));
}

/** Time within an interval that none of the others covers. */
export function remainingMs(
  fromMs: number,
  untilMs: number,
  covered: readonly Interval[],
): number {
  let sumMs = 0;
  let atMs = fromMs;
  for (const one of [...covered].sort((a, b) => a.startMs - b.startMs)) {
    sumMs += Math.max(0, Math.min(one.startMs, untilMs) - atMs);
    atMs = Math.max(atMs, one.endMs);
  }
  return sumMs + Math.max(0, untilMs - atMs);
}

/**
 * Draws which server of a run names a limit for its requests, and checks that
 * the hosts together keep to it.
 *
 * @module
 */

import { seededRandom } from "../src/common/random.ts";
import type { Bounds, History } from "./types.ts";

/** Offset of the seed, so that a seed draws the same faults as before. */
const SEED_OFFSET = 3_000_007;
const WINDOW_MS = 4_000;
const MAX_START_MS = 8_000;
const MIN_LIMIT_PER_S = 0.5;
const MAX_LIMIT_PER_S = 6;

export interface DrawnLimit {
  /** Index of the server. */
  readonly index: number;
  readonly limitPerS: number;
  /** Relative to the start of the requests. */
  readonly startMs: number;
}

/** The limit lasts until the end of the run. */
export function drawLimit(seed: number, servers: number): DrawnLimit {
  const random = seededRandom(seed + SEED_OFFSET);
  const range = MAX_LIMIT_PER_S - MIN_LIMIT_PER_S;
  return {
    startMs: random() * MAX_START_MS,
    limitPerS: MIN_LIMIT_PER_S + random() * range,
    index: Math.floor(random() * servers),
  };
}

/**
 * Checks each window that ends after the limit is stable. A fault of a host, or
 * an end of the server, excuses the windows that it and the time after it touch.
 */
export function checkRequestLimits(
  { limits, hostFaults }: History,
  { stableWindowMs }: Bounds,
): string[] {
  return limits.flatMap(
    ({ serverId, limitPerS, startMs, arrivedAtMs, endedAtMs }) => {
      const isExcused = (endMs: number): boolean => {
        const fromMs = endMs - WINDOW_MS - stableWindowMs;
        return endMs < startMs + stableWindowMs ||
          endedAtMs.some((atMs) => atMs > fromMs && atMs <= endMs) ||
          hostFaults.some((one) => one.startMs <= endMs && one.endMs > fromMs);
      };
      const allowed = 1.5 * limitPerS * WINDOW_MS / 1_000 + 5;
      const counts = arrivedAtMs.filter((endMs) => !isExcused(endMs)).map((
        endMs,
      ) =>
        arrivedAtMs.filter((atMs) => atMs > endMs - WINDOW_MS && atMs <= endMs)
          .length
      );
      const most = Math.max(0, ...counts);
      return most <= allowed ? [] : [
        `${serverId}: ${most} requests in ${WINDOW_MS} ms, at most ${
          allowed.toFixed(1)
        } allowed by its limit of ${limitPerS.toFixed(1)} a second`,
      ];
    },
  );
}

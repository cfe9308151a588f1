/**
 * Finds the slow part of slow chains. A chain is as slow as its slowest part,
 * so a part is judged by the fastest chain seen through it of late: a healthy
 * part shows in some fast chain, a degraded link or target in none.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { systemClock } from "../common/clock.ts";

/** After this a part's best chain has to be seen again. */
const BEST_HOLD_MS = 5_000;
/** A part is slow when its best chain is this much slower than the best of all. */
const SLOW_RATIO = 2;
const MIN_FACTOR = 0.02;
/** Differences below this are noise, whatever their ratio. */
const NOISE_MS = 10;

/** Options of `SlowParts`. */
export interface SlowPartsOptions {
  readonly clock?: Clock;
}

interface BestChain {
  meanGapMs: number;
  seenAtMs: number;
}

/** Remembers the fastest chain through each part. */
export class SlowParts {
  readonly #clock: Clock;
  readonly #best = new Map<string, BestChain>();

  constructor(options: SlowPartsOptions = {}) {
    this.#clock = options.clock ?? systemClock;
  }

  /** Notes the mean gap of a chain for all its parts. */
  noteChain(parts: readonly string[], meanGapMs: number): void {
    const nowMs = this.#clock.nowMs();
    for (const part of parts) {
      const best = this.#best.get(part);
      const isFresh = best && nowMs - best.seenAtMs < BEST_HOLD_MS;
      if (isFresh && best.meanGapMs < meanGapMs) continue;
      this.#best.set(part, { meanGapMs, seenAtMs: nowMs });
    }
  }

  /** Factors for the weights of parts that could stand for one another. */
  factors(parts: readonly string[]): number[] {
    const gapsMs = parts.map((part) => this.#best.get(part)?.meanGapMs);
    const known = gapsMs.filter((gapMs) => gapMs !== undefined);
    const fastestMs = Math.min(...known);
    return gapsMs.map((gapMs) => {
      if (gapMs === undefined || gapMs - fastestMs < NOISE_MS) return 1;
      const excess = gapMs / (SLOW_RATIO * fastestMs);
      return excess <= 1 ? 1 : Math.max(MIN_FACTOR, 1 / excess ** 2);
    });
  }

  retain(isKept: (part: string) => boolean): void {
    for (const part of [...this.#best.keys()]) {
      if (!isKept(part)) this.#best.delete(part);
    }
  }
}

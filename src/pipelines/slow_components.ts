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
const FASTEST_CHAIN_TTL_MS = 5_000;
/** A part is slow when its best chain is this much slower than the best of all. */
const SLOW_RATIO = 2;
const MIN_FACTOR = 0.02;
/** Differences below this are noise, whatever their ratio. */
const MIN_DIFFERENCE_MS = 10;

/** Options of `SlowParts`. */
export interface SlowComponentsOptions {
  readonly clock?: Clock;
}

interface FastestChain {
  meanGapMs: number;
  seenAtMs: number;
}

/** Remembers the fastest chain through each part. */
export class SlowComponents {
  readonly #clock: Clock;
  readonly #fastestChains = new Map<string, FastestChain>();

  constructor(options: SlowComponentsOptions = {}) {
    this.#clock = options.clock ?? systemClock;
  }

  /** Notes the mean gap of a chain for all its parts. */
  recordChain(components: readonly string[], meanGapMs: number): void {
    const nowMs = this.#clock.nowMs();
    for (const component of components) {
      const fastest = this.#fastestChains.get(component);
      const isFresh = fastest &&
        nowMs - fastest.seenAtMs < FASTEST_CHAIN_TTL_MS;
      if (isFresh && fastest.meanGapMs < meanGapMs) continue;
      this.#fastestChains.set(component, { meanGapMs, seenAtMs: nowMs });
    }
  }

  /** Factors for the weights of parts that could stand for one another. */
  factors(components: readonly string[]): number[] {
    const gapsMs = components.map((component) =>
      this.#fastestChains.get(component)?.meanGapMs
    );
    const known = gapsMs.filter((gapMs) => gapMs !== undefined);
    const fastestMs = Math.min(...known);
    return gapsMs.map((gapMs) => {
      if (gapMs === undefined || gapMs - fastestMs < MIN_DIFFERENCE_MS) {
        return 1;
      }
      const excess = gapMs / (SLOW_RATIO * fastestMs);
      return excess <= 1 ? 1 : Math.max(MIN_FACTOR, 1 / excess ** 2);
    });
  }

  retain(isKept: (component: string) => boolean): void {
    for (const component of [...this.#fastestChains.keys()]) {
      if (!isKept(component)) this.#fastestChains.delete(component);
    }
  }
}

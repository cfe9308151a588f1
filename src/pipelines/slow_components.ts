/**
 * Finds the components (targets and links) that slow chains down. A chain is as
 * slow as its slowest component, so a component is rated by the fastest recent
 * chain through it: a healthy one has some fast chain, a degraded one has none.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { systemClock } from "../common/clock.ts";

/** Time after which a component's fastest chain is replaced by the next one seen. */
const FASTEST_CHAIN_TTL_MS = 5_000;
/** Ratio to the fastest alternative above which a component counts as slow. */
const SLOW_RATIO = 2;
const MIN_FACTOR = 0.02;
/** Smaller differences count as noise, regardless of their ratio. */
const MIN_DIFFERENCE_MS = 10;

export interface SlowComponentsOptions {
  readonly clock?: Clock;
}

interface FastestChain {
  meanGapMs: number;
  seenAtMs: number;
}

/** Tracks the fastest recent chain through each component. */
export class SlowComponents {
  readonly #clock: Clock;
  readonly #fastestChains = new Map<string, FastestChain>();

  constructor(options: SlowComponentsOptions = {}) {
    this.#clock = options.clock ?? systemClock;
  }

  /** Records the mean gap of a chain for all its components. */
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

  /** Weight factors, in (0, 1], of components that are alternatives to one another. */
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

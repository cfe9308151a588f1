/**
 * Rates at which a service is offered requests and starts them at one host, by
 * rank, over the last seconds.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";

const SLICE_MS = 200;
/** Two seconds: long enough for several starts, shorter than most bursts. */
const SLICES = 10;
/** A rate is unknown with fewer starts in the window. */
const MIN_STARTS = 4;

interface Slice {
  index: number;
  started: number;
  readonly offered: Map<number, number>;
}

export interface RankRatesOptions {
  readonly clock: Clock;
}

export class RankRates {
  readonly #clock: Clock;
  readonly #slices: Slice[] = Array.from(
    { length: SLICES },
    () => ({ index: -Infinity, started: 0, offered: new Map() }),
  );

  constructor({ clock }: RankRatesOptions) {
    this.#clock = clock;
  }

  recordOffered(rank: number): void {
    const { offered } = this.#currentSlice();
    offered.set(rank, (offered.get(rank) ?? 0) + 1);
  }

  recordStarted(): void {
    this.#currentSlice().started++;
  }

  /** Requests started per millisecond; undefined if too few started to tell. */
  startsPerMs(): number | undefined {
    let started = 0;
    for (const slice of this.#recentSlices()) started += slice.started;
    return started < MIN_STARTS ? undefined : started / this.#windowMs;
  }

  /** Requests offered per millisecond by ranks more urgent than `rank`. */
  urgentOffersPerMs(rank: number): number {
    let count = 0;
    for (const { offered } of this.#recentSlices()) {
      for (const [other, offers] of offered) if (other < rank) count += offers;
    }
    return count / this.#windowMs;
  }

  /** The newest slice is not yet complete. */
  get #windowMs(): number {
    return (SLICES - 1) * SLICE_MS + this.#clock.nowMs() % SLICE_MS;
  }

  #recentSlices(): Slice[] {
    const { index } = this.#currentSlice();
    return this.#slices.filter((slice) => slice.index > index - SLICES);
  }

  #currentSlice(): Slice {
    const index = Math.floor(this.#clock.nowMs() / SLICE_MS);
    const slice = this.#slices[index % SLICES];
    if (slice.index !== index) {
      slice.index = index;
      slice.started = 0;
      slice.offered.clear();
    }
    return slice;
  }
}

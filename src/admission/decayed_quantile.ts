/**
 * A quantile of durations in which recent ones count most.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";

/** Width of a bucket, which bounds the error of a quantile. */
const BUCKET_RATIO = 1.1;
const LOG_BUCKET_RATIO = Math.log(BUCKET_RATIO);
/** Durations up to 100 s are told apart. */
const BUCKETS = 122;
/** Time after which a duration counts half as much as a new one. */
const HALF_LIFE_MS = 30_000;
/** Weights are scaled down beyond this, long before they overflow. */
const MAX_WEIGHT = 2 ** 40;

export class DecayedQuantile {
  readonly #clock: Clock;
  readonly #weights = new Float64Array(BUCKETS);
  #sinceMs: number;

  constructor({ clock }: { readonly clock: Clock }) {
    this.#clock = clock;
    this.#sinceMs = clock.nowMs();
  }

  record(durationMs: number): void {
    // A growing weight of new durations stands for the decay of all others.
    let weight = 2 ** ((this.#clock.nowMs() - this.#sinceMs) / HALF_LIFE_MS);
    if (weight > MAX_WEIGHT) {
      for (let i = 0; i < BUCKETS; i++) this.#weights[i] /= weight;
      this.#sinceMs = this.#clock.nowMs();
      weight = 1;
    }
    const bucket = Math.ceil(
      Math.log(Math.max(1, durationMs)) / LOG_BUCKET_RATIO,
    );
    this.#weights[Math.min(bucket, BUCKETS - 1)] += weight;
  }

  /**
   * Duration in milliseconds that this share of the requests does not exceed,
   * rounded up by at most a tenth; undefined if none was recorded.
   */
  at(share: number): number | undefined {
    const total = this.#weights.reduce((sum, one) => sum + one, 0);
    if (total === 0) return undefined;
    let sum = 0;
    for (let bucket = 0; bucket < BUCKETS; bucket++) {
      sum += this.#weights[bucket];
      if (sum >= share * total) return BUCKET_RATIO ** bucket;
    }
    return BUCKET_RATIO ** (BUCKETS - 1);
  }
}

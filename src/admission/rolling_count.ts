/**
 * Counts events of the last second.
 *
 * @module
 */

/** Time over which events are counted, so that a count is a rate per second. */
const WINDOW_MS = 1_000;
const BUCKET_MS = 100;
const BUCKETS = WINDOW_MS / BUCKET_MS;

export class RollingCount {
  readonly #counts = new Array<number>(BUCKETS).fill(0);
  #newestBucket = -Infinity;

  add(nowMs: number): void {
    this.#moveTo(nowMs);
    this.#counts[this.#newestBucket % BUCKETS]++;
  }

  /** Events of the last second. */
  count(nowMs: number): number {
    this.#moveTo(nowMs);
    return this.#counts.reduce((sum, one) => sum + one, 0);
  }

  #moveTo(nowMs: number): void {
    const bucket = Math.floor(nowMs / BUCKET_MS);
    const from = Math.max(this.#newestBucket + 1, bucket - BUCKETS + 1);
    for (let i = from; i <= bucket; i++) this.#counts[i % BUCKETS] = 0;
    this.#newestBucket = Math.max(this.#newestBucket, bucket);
  }
}

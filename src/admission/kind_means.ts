/**
 * Moving means of a value for each kind of request.
 *
 * @module
 */

/** Weight of the newest value, once there are enough. */
const MIN_WEIGHT = 0.01;
/** Kinds are named by the configuration; the kinds used least recently are dropped. */
const MAX_KINDS = 256;

interface MovingMean {
  mean: number;
  count: number;
}

export class KindMeans {
  readonly #means = new Map<string, MovingMean>();

  /** Adds a value; returns it relative to the mean of its kind. */
  addRelative(kind: string, value: number): number {
    if (!Number.isFinite(value) || value <= 0) return 1;
    const entry = this.#means.get(kind) ?? { mean: value, count: 0 };
    entry.count++;
    const weight = Math.max(MIN_WEIGHT, 1 / entry.count);
    entry.mean += weight * (value - entry.mean);
    this.#means.delete(kind);
    this.#means.set(kind, entry);
    if (this.#means.size > MAX_KINDS) {
      const [oldest] = this.#means.keys();
      this.#means.delete(oldest);
    }
    return value / entry.mean;
  }
}

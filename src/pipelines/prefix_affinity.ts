/**
 * Tracks the share of each prompt prefix in this host's traffic. Requests with
 * the same prefix go to a few targets that then have it cached; the number of
 * targets grows with the share.
 *
 * @module
 */

/** Picks after which all counts are halved. */
const WINDOW_PICKS = 4_096;
const MAX_PREFIXES = 1_024;
/** Headroom over a prefix's share of the traffic. */
const SPREAD_MARGIN = 1.25;

/** Counts prefixes in bounded memory. */
export class PrefixAffinity {
  readonly #counts = new Map<number, number>();
  #total = 0;

  /**
   * Counts one request. Returns the share of targets over which to distribute
   * its prefix, or undefined for a prefix not seen before.
   */
  note(prefixHash: number): number | undefined {
    const count = (this.#counts.get(prefixHash) ?? 0) + 1;
    this.#counts.delete(prefixHash);
    this.#counts.set(prefixHash, count);
    this.#total++;
    const share = count / this.#total;
    if (this.#counts.size > MAX_PREFIXES) this.#dropOldest();
    if (this.#total >= WINDOW_PICKS) this.#halve();
    return count > 1 ? Math.min(1, share * SPREAD_MARGIN) : undefined;
  }

  #dropOldest(): void {
    const [oldest] = this.#counts.keys();
    this.#counts.delete(oldest);
  }

  #halve(): void {
    this.#total = 0;
    for (const [prefix, count] of [...this.#counts]) {
      const half = Math.floor(count / 2);
      this.#total += half;
      if (half === 0) this.#counts.delete(prefix);
      else this.#counts.set(prefix, half);
    }
  }
}

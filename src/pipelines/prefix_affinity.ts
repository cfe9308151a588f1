/**
 * How common each prompt prefix is at this host. Requests of one prefix go to
 * few targets, whose caches then hold it; the more of the traffic it makes,
 * the more targets.
 *
 * @module
 */

/** Picks counted before all counts are halved. */
const WINDOW_PICKS = 4_096;
const MAX_PREFIXES = 1_024;
/** Room given to a prefix over its bare share of the traffic. */
const SPREAD_MARGIN = 1.25;

/** Counts prefixes with bounded memory. */
export class PrefixAffinity {
  readonly #counts = new Map<number, number>();
  #total = 0;

  /**
   * Counts one request. Returns the share of the targets that its prefix is
   * to be spread over, or undefined for a prefix not seen before.
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

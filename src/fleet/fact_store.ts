/**
 * The facts a host knows: of one topic and key the one with the highest
 * sequence, until it expires, in bounded memory.
 *
 * @module
 */

import { BucketDigest, collectBuckets } from "./bucket_digest.ts";
import type { Fact } from "./services.ts";

/** Holds facts and a digest of them. */
export class FactStore {
  readonly #maxFacts: number;
  readonly #facts = new Map<string, Fact>();
  readonly #digest = new BucketDigest();
  #evictedCount = 0;

  constructor(options: { readonly maxFacts: number }) {
    this.#maxFacts = options.maxFacts;
  }

  get digest(): BucketDigest {
    return this.#digest;
  }

  get size(): number {
    return this.#facts.size;
  }

  /** Number of facts given up before they expired, for lack of room. */
  get evictedCount(): number {
    return this.#evictedCount;
  }

  /** Takes a fact in; false when it is expired or not newer. */
  apply(fact: Fact, wallMs: number): boolean {
    if (fact.expiresAtWallMs <= wallMs) return false;
    const key = keyOf(fact);
    const known = this.#facts.get(key);
    if (known !== undefined && known.sequence >= fact.sequence) return false;
    if (known !== undefined) this.#remove(known);
    else if (this.#facts.size >= this.#maxFacts) this.#evict();
    this.#facts.set(key, fact);
    this.#digest.toggle(key, fact.sequence);
    return true;
  }

  /** Drops what has expired. */
  expire(wallMs: number): void {
    for (const fact of this.#facts.values()) {
      if (fact.expiresAtWallMs <= wallMs) this.#remove(fact);
    }
  }

  /** Facts in some buckets, as many whole buckets as fit. */
  factsIn(
    indexes: readonly number[],
    maxItems: number,
  ): { items: Fact[]; covered: number[] } {
    return collectBuckets(this.#facts.values(), { keyOf, indexes, maxItems });
  }

  #evict(): void {
    let earliest: Fact | undefined;
    for (const fact of this.#facts.values()) {
      if (
        earliest === undefined ||
        fact.expiresAtWallMs < earliest.expiresAtWallMs
      ) earliest = fact;
    }
    if (earliest === undefined) return;
    this.#remove(earliest);
    this.#evictedCount += 1;
  }

  #remove(fact: Fact): void {
    const key = keyOf(fact);
    this.#facts.delete(key);
    this.#digest.toggle(key, fact.sequence);
  }
}

/** The key under which a fact replaces an earlier one. */
export function keyOf(fact: Pick<Fact, "topic" | "key">): string {
  return `${fact.topic}/${fact.key}`;
}

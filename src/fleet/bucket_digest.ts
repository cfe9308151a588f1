/**
 * Digest of a set of versioned keys, so that two hosts find what differs
 * between them in a message of constant size.
 *
 * @module
 */

import { hash32 } from "../common/hash.ts";

const BUCKET_COUNT = 64;

/** Exclusive-or of the hashes of all items, by bucket of their key. */
export class BucketDigest {
  readonly #buckets = new Array<number>(BUCKET_COUNT).fill(0);
  #combined = 0;

  /** Digest of the whole set. */
  get combined(): number {
    return this.#combined;
  }

  /** One digest for each bucket. */
  get buckets(): readonly number[] {
    return this.#buckets;
  }

  /** Adds the item, or takes it away when it is in the set. */
  toggle(key: string, version: number): void {
    const hash = hash32(key, version >>> 0);
    const index = bucketOf(key);
    this.#buckets[index] = (this.#buckets[index] ^ hash) >>> 0;
    this.#combined = (this.#combined ^ hash) >>> 0;
  }

  /** Indexes of the buckets that differ from those of another set. */
  differing(buckets: readonly number[]): number[] {
    const indexes: number[] = [];
    for (let index = 0; index < BUCKET_COUNT; index += 1) {
      if (this.#buckets[index] !== buckets[index]) indexes.push(index);
    }
    return indexes;
  }
}

/** The bucket of a key. */
function bucketOf(key: string): number {
  return hash32(key) % BUCKET_COUNT;
}

/** Sorts items into buckets and takes whole buckets while they fit. */
export function collectBuckets<T>(
  items: Iterable<T>,
  options: {
    readonly keyOf: (item: T) => string;
    readonly indexes: readonly number[];
    readonly maxItems: number;
  },
): { items: T[]; covered: number[] } {
  const itemsByBucket = new Map(
    options.indexes.map((index) => [index, [] as T[]]),
  );
  for (const item of items) {
    itemsByBucket.get(bucketOf(options.keyOf(item)))?.push(item);
  }
  const collected: T[] = [];
  const covered: number[] = [];
  for (const [index, bucket] of itemsByBucket) {
    const exceedsLimit = collected.length + bucket.length > options.maxItems;
    if (exceedsLimit && covered.length > 0) continue;
    collected.push(...bucket);
    covered.push(index);
  }
  return { items: collected, covered };
}

/**
 * Copy of a followed keyed log from which other hosts' queries are answered.
 * Records that repeat the previous value of their key are not changes, so
 * heartbeats alone produce no new records.
 *
 * @module
 */

import type { KeyedRecord } from "../ports/types.ts";
import type { KeyedBatch } from "./keyed_follower.ts";

/** Larger values are read from the log itself, since an answer must fit in a datagram. */
const MAX_VALUE_BYTES = 6_000;
/** Tombstones kept; a host that is further behind reads the log itself. */
const MAX_TOMBSTONES = 1_000;

interface Entry {
  /** Undefined for a tombstone, and for a large value. */
  readonly value: Buffer | undefined;
  readonly isLarge: boolean;
  /** End offset of the read that returned the value. */
  readonly changedOffset: number;
}

export interface MirrorRead {
  readonly records: readonly KeyedRecord[];
  readonly nextOffset: number;
}

/** The newest record of each key, with the offset at which it changed. */
export class LogMirror {
  readonly #entries = new Map<string, Entry>();
  #firstOffset = Infinity;
  #nextOffset = -Infinity;
  #tombstones = 0;

  apply(batch: KeyedBatch): void {
    if (batch.isSnapshot) this.#reset(batch.nextOffset);
    this.#nextOffset = batch.nextOffset;
    for (const { key, value } of batch.records) {
      const isLarge = value !== undefined && value.length > MAX_VALUE_BYTES;
      const old = this.#entries.get(key);
      const isSame = old !== undefined && !isLarge && !old.isLarge &&
        isSameValue(old.value, value);
      if (isSame) continue;
      if (value === undefined) this.#tombstones++;
      this.#entries.set(key, {
        value: isLarge ? undefined : value,
        isLarge,
        changedOffset: batch.nextOffset,
      });
    }
    if (this.#tombstones > MAX_TOMBSTONES) this.#evictTombstones();
  }

  /**
   * Returns the records changed since `fromOffset`; undefined if the mirror
   * does not cover them.
   */
  readAfter(fromOffset: number): MirrorRead | undefined {
    if (fromOffset < this.#firstOffset || fromOffset > this.#nextOffset) {
      return undefined;
    }
    const records: KeyedRecord[] = [];
    for (const [key, entry] of this.#entries) {
      if (entry.changedOffset <= fromOffset) continue;
      if (entry.isLarge) return undefined;
      records.push({ key, value: entry.value });
    }
    return { records, nextOffset: this.#nextOffset };
  }

  #reset(offset: number): void {
    this.#entries.clear();
    this.#tombstones = 0;
    this.#firstOffset = offset;
  }

  #evictTombstones(): void {
    for (const [key, { value, isLarge }] of this.#entries) {
      if (value === undefined && !isLarge) this.#entries.delete(key);
    }
    this.#tombstones = 0;
    this.#firstOffset = this.#nextOffset;
  }
}

function isSameValue(a: Buffer | undefined, b: Buffer | undefined): boolean {
  if (a === undefined || b === undefined) return a === b;
  return a.equals(b);
}

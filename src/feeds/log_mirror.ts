/**
 * Copy of a followed keyed log from which other hosts' queries are answered.
 * Records that repeat the previous value of their key are not changes, so
 * heartbeats alone produce no new records.
 *
 * @module
 */

import type { KeyedRecord } from "../ports/types.ts";
import type { KeyedBatch } from "./keyed_follower.ts";

/** Larger values are passed on over a connection, since they do not fit in a datagram. */
const MAX_VALUE_BYTES = 6_000;
/** Larger values are not kept; other hosts read them from the log itself. */
const MAX_KEPT_BYTES = 4 * 1024 * 1024;
/** Tombstones kept; a host that is further behind reads the log itself. */
const MAX_TOMBSTONES = 1_000;

interface Entry {
  /** Undefined for a tombstone, and for a value that is not kept. */
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
      const isKept = value !== undefined && value.length <= MAX_KEPT_BYTES;
      const isSame = old !== undefined && old.isLarge === isLarge &&
        (isKept || !isLarge) && isSameValue(old.value, value);
      if (isSame) continue;
      if (value === undefined) this.#tombstones++;
      this.#entries.set(key, {
        value: isKept ? value : undefined,
        isLarge,
        changedOffset: batch.nextOffset,
      });
    }
    if (this.#tombstones > MAX_TOMBSTONES) this.#evictTombstones();
  }

  /**
   * Returns the records changed since `fromOffset`; undefined if the mirror
   * does not cover them, or if one is too large for a datagram.
   */
  readAfter(fromOffset: number): MirrorRead | undefined {
    return this.#read(fromOffset, ({ isLarge }) => !isLarge);
  }

  /** The same for records of any size. */
  readAllAfter(fromOffset: number): MirrorRead | undefined {
    return this.#read(
      fromOffset,
      ({ isLarge, value }) => !isLarge || value !== undefined,
    );
  }

  #read(
    fromOffset: number,
    canReturn: (entry: Entry) => boolean,
  ): MirrorRead | undefined {
    if (fromOffset < this.#firstOffset || fromOffset > this.#nextOffset) {
      return undefined;
    }
    const records: KeyedRecord[] = [];
    for (const [key, entry] of this.#entries) {
      if (entry.changedOffset <= fromOffset) continue;
      if (!canReturn(entry)) return undefined;
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

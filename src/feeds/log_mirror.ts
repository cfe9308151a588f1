/**
 * What a follower has learned of a keyed log, kept so that other hosts can
 * learn it from here. Records that repeat the value before them count as
 * nothing new, so a log of heartbeats stands still while nothing happens.
 *
 * @module
 */

import type { KeyedRecord } from "../ports/types.ts";
import type { KeyedBatch } from "./keyed_follower.ts";

/** A larger value is read from the log itself; a datagram must hold an answer. */
const MAX_VALUE_BYTES = 6_000;
/** Dropped keys that are remembered; a host that missed more reads the log itself. */
const MAX_TOMBSTONES = 1_000;

interface Entry {
  /** Undefined: the key was dropped. */
  readonly value: Buffer | undefined;
  readonly isLarge: boolean;
  /** The read that ended here brought the value. */
  readonly changedOffset: number;
}

/** What is new after an offset. */
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

  /** What changed from `fromOffset` on; undefined where that can't be told from here. */
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

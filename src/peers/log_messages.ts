/**
 * Datagrams by which a host queries another host for new records of a keyed log.
 *
 * @module
 */

import type { KeyedRecord, RelayedRead } from "../ports/types.ts";

/** With `mayWait`, the receiver may delay its answer until it has newer records. */
export interface LogQuery {
  readonly id: number;
  /** Name of the log, the same on all hosts. */
  readonly log: string;
  readonly fromOffset: number;
  readonly mayWait: boolean;
  /** Era in which the offset is valid; undefined if the log has none. */
  readonly era: number | undefined;
  /** The host can fetch records that are too large for a datagram. */
  readonly canFetch?: boolean;
}

/** `read` is undefined if the host cannot answer the query. */
export interface LogAnswer {
  readonly id: number;
  readonly read: LogAnswerRead | undefined;
  /** The records are too large for a datagram and can be fetched. */
  readonly isLarge?: boolean;
}

/** New records, with their watermark. */
export interface LogAnswerRead extends RelayedRead {
  readonly records: readonly KeyedRecord[];
  readonly nextOffset: number;
  readonly era: number | undefined;
}

export function encodeLogQuery(query: LogQuery): Buffer {
  const { id, log, fromOffset, mayWait, era, canFetch } = query;
  const fields = [id, log, fromOffset, mayWait ? 1 : 0, era ?? null];
  return Buffer.from(
    JSON.stringify({ ask: canFetch === true ? [...fields, 1] : fields }),
  );
}

export function encodeLogAnswer({ id, read, isLarge }: LogAnswer): Buffer {
  if (isLarge === true) return Buffer.from(JSON.stringify({ say: [id, 1] }));
  return Buffer.from(JSON.stringify({
    say: read === undefined ? [id] : [
      id,
      read.watermarkDeltaMs,
      read.sinceRecoveryMs,
      read.nextOffset,
      read.records.map(({ key, value }) => [
        key,
        value === undefined ? null : value.toString("base64"),
      ]),
      read.era ?? null,
    ],
  }));
}

/** Returns undefined for a malformed query. */
export function decodeLogQuery(value: unknown): LogQuery | undefined {
  if (!Array.isArray(value)) return undefined;
  const [id, log, fromOffset, mayWait, era = null, canFetch] = value;
  if (
    !isOffset(id) || typeof log !== "string" || !isOffset(fromOffset) ||
    !isEra(era)
  ) return undefined;
  return {
    id,
    log,
    fromOffset,
    mayWait: mayWait === 1,
    era: era ?? undefined,
    ...(canFetch === 1 ? { canFetch: true } : {}),
  };
}

/** Returns undefined for a malformed answer. */
export function decodeLogAnswer(value: unknown): LogAnswer | undefined {
  if (!Array.isArray(value)) return undefined;
  const [
    id,
    watermarkDeltaMs,
    sinceRecoveryMs,
    nextOffset,
    items,
    era = null,
  ] = value;
  if (!isOffset(id)) return undefined;
  if (value.length === 1) return { id, read: undefined };
  if (value.length === 2 && watermarkDeltaMs === 1) {
    return { id, read: undefined, isLarge: true };
  }
  if (
    !Number.isFinite(watermarkDeltaMs) || !isDurationMs(sinceRecoveryMs) ||
    !isOffset(nextOffset) || !Array.isArray(items) || !isEra(era)
  ) return undefined;
  const records: KeyedRecord[] = [];
  for (const item of items) {
    const record = decodeRecord(item);
    // Reject the whole answer: skipping one record would look like a complete read.
    if (record === undefined) return undefined;
    records.push(record);
  }
  return {
    id,
    read: {
      watermarkDeltaMs,
      sinceRecoveryMs,
      nextOffset,
      records,
      era: era ?? undefined,
    },
  };
}

function decodeRecord(item: unknown): KeyedRecord | undefined {
  if (!Array.isArray(item)) return undefined;
  const [key, value] = item;
  if (typeof key !== "string") return undefined;
  if (value === null) return { key, value: undefined };
  if (typeof value !== "string") return undefined;
  return { key, value: Buffer.from(value, "base64") };
}

function isOffset(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

function isEra(value: unknown): value is number | null {
  return value === null || isOffset(value);
}

function isDurationMs(value: unknown): value is number {
  return Number.isFinite(value) && (value as number) >= 0;
}

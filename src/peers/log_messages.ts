/**
 * Datagrams by which a host asks another for what is new in a keyed log.
 *
 * @module
 */

import type { KeyedRecord, RelayedRead } from "../ports/types.ts";

/** A question; the host that is asked may wait until it knows something newer. */
export interface LogQuery {
  readonly id: number;
  /** Name of the log, the same on all hosts. */
  readonly log: string;
  readonly fromOffset: number;
  readonly mayWait: boolean;
}

/** An answer; `read` is undefined where the host can't tell. */
export interface LogAnswer {
  readonly id: number;
  readonly read: LogAnswerRead | undefined;
}

/** What is new, and how sure that is. */
export interface LogAnswerRead extends RelayedRead {
  readonly records: readonly KeyedRecord[];
  readonly nextOffset: number;
}

export function encodeLogQuery(question: LogQuery): Buffer {
  const { id, log, fromOffset, mayWait } = question;
  return Buffer.from(
    JSON.stringify({ ask: [id, log, fromOffset, mayWait ? 1 : 0] }),
  );
}

export function encodeLogAnswer({ id, read }: LogAnswer): Buffer {
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
    ],
  }));
}

/** Undefined where the value is no question. */
export function decodeLogQuery(value: unknown): LogQuery | undefined {
  if (!Array.isArray(value)) return undefined;
  const [id, log, fromOffset, mayWait] = value;
  if (!isOffset(id) || typeof log !== "string" || !isOffset(fromOffset)) {
    return undefined;
  }
  return { id, log, fromOffset, mayWait: mayWait === 1 };
}

/** Undefined where the value is no answer. */
export function decodeLogAnswer(value: unknown): LogAnswer | undefined {
  if (!Array.isArray(value)) return undefined;
  const [id, watermarkDeltaMs, sinceRecoveryMs, nextOffset, items] = value;
  if (!isOffset(id)) return undefined;
  if (value.length === 1) return { id, read: undefined };
  if (
    !Number.isFinite(watermarkDeltaMs) || !isDurationMs(sinceRecoveryMs) ||
    !isOffset(nextOffset) || !Array.isArray(items)
  ) return undefined;
  const records: KeyedRecord[] = [];
  for (const item of items) {
    const record = decodeRecord(item);
    // Without one of its records the rest would pass for all there is.
    if (record === undefined) return undefined;
    records.push(record);
  }
  return {
    id,
    read: {
      watermarkDeltaMs: watermarkDeltaMs,
      sinceRecoveryMs,
      nextOffset,
      records,
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

function isDurationMs(value: unknown): value is number {
  return Number.isFinite(value) && (value as number) >= 0;
}

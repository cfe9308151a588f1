/**
 * Leases as the log's order decides them. Every reader reduces the same
 * records to the same holders; only the log's own times count, so the clocks
 * of hosts need not agree.
 *
 * @module
 */

import { z } from "zod";
import type { LogRecord } from "../clients/types.ts";

const leaseRecordSchema = z.discriminatedUnion("action", [
  z.object({
    action: z.literal("acquire"),
    lease: z.string(),
    holder: z.string(),
    /** Offset of the lease's last record as the writer knows it, or -1. */
    expectedOffset: z.int(),
    /** First offset that the writer could read; older records have no say. */
    readableFrom: z.int(),
    expiresAfterMs: z.number().positive(),
  }),
  z.object({
    action: z.enum(["renew", "release"]),
    lease: z.string(),
    holder: z.string(),
    expectedOffset: z.int(),
  }),
]);

/** What a lease record says. */
export type LeaseRecord = z.infer<typeof leaseRecordSchema>;

/** A lease as of the last record that changed it. */
export interface LeaseState {
  readonly holder: string;
  /** Offset of the record that acquired it: the fencing number. */
  readonly fence: number;
  /** Identifier of the record that set the present end. */
  readonly lastId: string;
  readonly lastOffset: number;
  /** End of the lease on the log's clock. */
  readonly endsAtWallMs: number;
  readonly expiresAfterMs: number;
  readonly isReleased: boolean;
}

/** Reduces the records of the stream of leases. */
export class LeaseLedger {
  readonly #leases = new Map<string, LeaseState>();

  get(lease: string): LeaseState | undefined {
    return this.#leases.get(lease);
  }

  /** Applies the next record; one that is malformed or too late changes nothing. */
  apply(record: LogRecord): void {
    const parsed = leaseRecordSchema.safeParse(record.data);
    if (!parsed.success) return;
    const { data } = parsed;
    const known = this.#leases.get(data.lease);
    if (data.action === "acquire") {
      if (!canAcquire(data, known, record.atWallMs)) return;
      this.#leases.set(data.lease, acquiredState(data, record));
    } else if (isFromHolder(data, known, record.atWallMs)) {
      this.#leases.set(data.lease, updatedState(data.action, known, record));
    }
  }
}

function canAcquire(
  data: Extract<LeaseRecord, { action: "acquire" }>,
  known: LeaseState | undefined,
  atWallMs: number,
): boolean {
  if (!known) return true;
  const isFree = known.isReleased || known.endsAtWallMs <= atWallMs;
  if (!isFree) return false;
  return known.lastOffset === data.expectedOffset ||
    known.lastOffset < data.readableFrom;
}

function acquiredState(
  data: Extract<LeaseRecord, { action: "acquire" }>,
  record: LogRecord,
): LeaseState {
  return {
    holder: data.holder,
    fence: record.offset,
    lastId: record.id,
    lastOffset: record.offset,
    endsAtWallMs: record.atWallMs + data.expiresAfterMs,
    expiresAfterMs: data.expiresAfterMs,
    isReleased: false,
  };
}

function isFromHolder(
  data: LeaseRecord,
  known: LeaseState | undefined,
  atWallMs: number,
): known is LeaseState {
  if (!known || known.isReleased) return false;
  return known.holder === data.holder &&
    known.lastOffset === data.expectedOffset && atWallMs < known.endsAtWallMs;
}

function updatedState(
  action: "renew" | "release",
  known: LeaseState,
  record: LogRecord,
): LeaseState {
  return {
    ...known,
    lastId: record.id,
    lastOffset: record.offset,
    endsAtWallMs: record.atWallMs + known.expiresAfterMs,
    isReleased: action === "release",
  };
}

/**
 * Reduces the records of the configuration stream, in the order of their
 * offsets, to a configuration. Every host reduces the same records to the same
 * state, so the order of the log alone decides between operators.
 *
 * @module
 */

import type { LogRecord } from "../clients/types.ts";
import { applyPatch } from "./patch.ts";
import {
  type ChangeRecord,
  type LedgerSnapshot,
  parseRecord,
  type RecordResult,
  type SnapshotPosition,
} from "./records.ts";
import { EMPTY_CONFIG } from "./schema.ts";
import type { AuditEntry, ConfigState } from "./types.ts";

const MAX_AUDIT_ENTRIES = 1_000;
const MAX_RECENT_RECORDS = 512;
/** Entries of the audit trail that travel with a snapshot to a peer. */
const MAX_SNAPSHOT_RESULTS = 100;

/** Options of a ledger. */
export interface ConfigLedgerOptions {
  /** Entries of the audit trail to keep. */
  readonly maxAuditEntries?: number;
  /** Records to keep for peers that lag. */
  readonly maxRecentRecords?: number;
}

/** The state that the records lead to, and the audit trail of how. */
export class ConfigLedger {
  readonly #maxAuditEntries: number;
  readonly #maxRecentRecords: number;
  #state: ConfigState = { version: 0, offset: -1, config: EMPTY_CONFIG };
  #nextOffset = 0;
  #results = new Map<string, RecordResult>();
  /** The last records without a gap, up to `#nextOffset`. */
  #recent: LogRecord[] = [];
  #lastSnapshot: SnapshotPosition | undefined;
  #acceptedOffset = 0;
  #installCount = 0;

  constructor(options: ConfigLedgerOptions = {}) {
    this.#maxAuditEntries = options.maxAuditEntries ?? MAX_AUDIT_ENTRIES;
    this.#maxRecentRecords = options.maxRecentRecords ?? MAX_RECENT_RECORDS;
  }

  /** The newest version in the log's order. */
  get state(): ConfigState {
    return this.#state;
  }

  /** Offset of the first record that is not reduced yet. */
  get nextOffset(): number {
    return this.#nextOffset;
  }

  /** The log itself says that the changes below this offset are accepted. */
  get acceptedOffset(): number {
    return this.#acceptedOffset;
  }

  /** The newest snapshot seen in the log. */
  get lastSnapshot(): SnapshotPosition | undefined {
    return this.#lastSnapshot;
  }

  /** How often a whole state took the place of reduced records. */
  get installCount(): number {
    return this.#installCount;
  }

  /** What became of the record with this id, if it is still in the audit trail. */
  resultOf(id: string): RecordResult | undefined {
    return this.#results.get(id);
  }

  /** The newest entries of the audit trail, the newest first. */
  history(limit: number): AuditEntry[] {
    if (limit <= 0) return [];
    const newest = [...this.#results.values()].slice(-limit);
    return newest.reverse().map(toAuditEntry);
  }

  /** The records from `offset` on, or undefined when they are no longer kept. */
  recordsFrom(offset: number): readonly LogRecord[] | undefined {
    if (offset >= this.#nextOffset) return [];
    const index = this.#recent.findIndex((record) => record.offset >= offset);
    if (index < 0 || this.#recent[index].offset !== offset) return undefined;
    return this.#recent.slice(index);
  }

  /**
   * Reduces a record. Records already reduced are passed over; the caller must
   * not leave out a record in between.
   */
  reduce(record: LogRecord): void {
    if (record.offset < this.#nextOffset) return;
    this.#appendRecent(record);
    this.#nextOffset = record.offset + 1;
    const data = parseRecord(record);
    if (data?.kind === "change") this.#reduceChange(record, data);
    if (data?.kind === "snapshot") {
      const { offset, atWallMs } = record;
      this.#lastSnapshot = { offset, atWallMs, nextOffset: data.nextOffset };
      this.#advanceAcceptedOffset(data.nextOffset);
    }
    if (data?.kind === "accepted") {
      this.#advanceAcceptedOffset(data.stableOffset);
    }
  }

  /** What became of the newest records below `offset`, for a host that starts. */
  resultsBefore(offset: number): RecordResult[] {
    return [...this.#results.values()]
      .filter((result) => result.offset < offset)
      .slice(-MAX_SNAPSHOT_RESULTS);
  }

  /** Takes a state from a peer or from a snapshot in the log; never goes back. */
  install(snapshot: LedgerSnapshot): boolean {
    if (snapshot.nextOffset <= this.#nextOffset) return false;
    if (snapshot.state.version < this.#state.version) return false;
    this.#nextOffset = snapshot.nextOffset;
    this.#recent = [];
    this.#installCount += 1;
    this.#lastSnapshot = snapshot.lastSnapshot ?? this.#lastSnapshot;
    if (snapshot.state.version > this.#state.version) {
      this.#state = snapshot.state;
    }
    for (const result of snapshot.results) this.#recordResult(result);
    return true;
  }

  #appendRecent(record: LogRecord): void {
    const isContiguous = record.offset === this.#nextOffset;
    if (!isContiguous) this.#recent = [];
    this.#recent.push(record);
    if (this.#recent.length > 2 * this.#maxRecentRecords) {
      this.#recent = this.#recent.slice(-this.#maxRecentRecords);
    }
  }

  #reduceChange(record: LogRecord, change: ChangeRecord): void {
    // The writer of an ambiguous append may have appended its record again.
    if (this.#results.get(record.id)?.result === "accepted") return;
    const result = this.#tryApply(record, change);
    this.#recordResult({
      id: record.id,
      offset: record.offset,
      atWallMs: record.atWallMs,
      operator: change.operator,
      baseVersion: change.baseVersion,
      result,
      ...(result === "accepted" ? { version: this.#state.version } : {}),
      ...(change.note === undefined ? {} : { note: change.note }),
      patch: change.patch,
    });
  }

  #tryApply(record: LogRecord, change: ChangeRecord): AuditEntry["result"] {
    if (change.baseVersion !== this.#state.version) return "superseded";
    const patched = applyPatch(this.#state.config, change);
    if (patched.isErr()) return "invalid";
    this.#state = {
      version: this.#state.version + 1,
      offset: record.offset,
      config: patched.value,
    };
    return "accepted";
  }

  #advanceAcceptedOffset(offset: number): void {
    this.#acceptedOffset = Math.max(
      this.#acceptedOffset,
      Math.min(offset, this.#nextOffset),
    );
  }

  #recordResult(result: RecordResult): void {
    this.#results.delete(result.id);
    this.#results.set(result.id, result);
    if (this.#results.size <= this.#maxAuditEntries) return;
    const [oldest] = this.#results.keys();
    this.#results.delete(oldest);
  }
}

function toAuditEntry({ id: _id, ...entry }: RecordResult): AuditEntry {
  return entry;
}

/**
 * Reduces the records of the configuration stream, in the order of their
 * offsets, to the configuration in force. Every host reduces the same records
 * to the same state, so the order of the log alone decides between operators.
 *
 * @module
 */

import type { LogRecord } from "../platform/types.ts";
import { applyPatch } from "./patch.ts";
import { type ChangeRecord, parseRecord } from "./records.ts";
import { EMPTY_CONFIG } from "./schema.ts";
import type { AuditEntry, ConfigState } from "./types.ts";

/** Entries of the audit trail that a host keeps. */
const MAX_AUDIT_ENTRIES = 1_000;

/** A reduced state that can be handed to another host. */
export interface LedgerSnapshot {
  readonly state: ConfigState;
  readonly nextOffset: number;
}

/** What became of one record, by the record's own id. */
export interface RecordResult extends AuditEntry {
  readonly id: string;
}

/** Options of a ledger. */
export interface ConfigLedgerOptions {
  readonly maxAuditEntries?: number;
}

/** The configuration in force and the audit trail that led to it. */
export class ConfigLedger {
  readonly #maxAuditEntries: number;
  #state: ConfigState = { version: 0, offset: -1, config: EMPTY_CONFIG };
  #nextOffset = 0;
  #results = new Map<string, RecordResult>();

  constructor(options: ConfigLedgerOptions = {}) {
    this.#maxAuditEntries = options.maxAuditEntries ?? MAX_AUDIT_ENTRIES;
  }

  get state(): ConfigState {
    return this.#state;
  }

  /** Offset of the first record that is not reduced yet. */
  get nextOffset(): number {
    return this.#nextOffset;
  }

  /** The state, to be handed to a host that starts. */
  get snapshot(): LedgerSnapshot {
    return { state: this.#state, nextOffset: this.#nextOffset };
  }

  /** What became of the record with this id, if it is still in the audit trail. */
  resultOf(id: string): RecordResult | undefined {
    return this.#results.get(id);
  }

  /** The newest entries of the audit trail, the newest first. */
  history(limit: number): AuditEntry[] {
    const newest = [...this.#results.values()].slice(-limit || Infinity);
    return limit <= 0 ? [] : newest.reverse().map(toAuditEntry);
  }

  /**
   * Reduces a record. Records already reduced are passed over; the caller must
   * not leave out a record in between.
   */
  reduce(record: LogRecord): void {
    if (record.offset < this.#nextOffset) return;
    this.#nextOffset = record.offset + 1;
    const data = parseRecord(record);
    if (data?.kind === "change") this.#reduceChange(record, data);
  }

  /** Takes a state that another host or a snapshot record vouches for; never goes back. */
  install(snapshot: LedgerSnapshot): boolean {
    if (snapshot.nextOffset <= this.#nextOffset) return false;
    if (snapshot.state.version < this.#state.version) return false;
    this.#nextOffset = snapshot.nextOffset;
    if (snapshot.state.version > this.#state.version) {
      this.#state = snapshot.state;
    }
    return true;
  }

  #reduceChange(record: LogRecord, change: ChangeRecord): void {
    const known = this.#results.get(record.id);
    if (known !== undefined && known.result === "accepted") return;
    this.#note(record, change, this.#decide(record, change));
  }

  #decide(record: LogRecord, change: ChangeRecord): AuditEntry["result"] {
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

  #note(
    record: LogRecord,
    change: ChangeRecord,
    result: AuditEntry["result"],
  ): void {
    this.#results.delete(record.id);
    this.#results.set(record.id, {
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
    if (this.#results.size <= this.#maxAuditEntries) return;
    const [oldest] = this.#results.keys();
    this.#results.delete(oldest);
  }
}

function toAuditEntry({ id: _id, ...entry }: RecordResult): AuditEntry {
  return entry;
}

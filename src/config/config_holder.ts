/**
 * What one host holds of the configuration: the records that it knows, the
 * version in force, and until when it can tell that no accepted change is
 * missing.
 *
 * A change is accepted once the log holds it at the version that it names and
 * most hosts know it. Until this host learns of that, the change is pending:
 * known but not in force. So no observer sees a version which the hosts that
 * outlive an outage of the log have never heard of.
 *
 * @module
 */

import { type Clock, systemClock } from "../common/clock.ts";
import { Emitter } from "../common/emitter.ts";
import type { LogRecord } from "../clients/types.ts";
import { ConfigLedger } from "./ledger.ts";
import type { LedgerSnapshot } from "./records.ts";
import type { AuditEntry, ConfigState } from "./types.ts";

/** A host serves for this long after the time at which it surely held everything. */
export const MAX_READY_AGE_MS = 5_000;

/** Options of a holder. */
export interface ConfigHolderOptions {
  readonly clock?: Clock;
  /** True when there are no peers to ask: the log's word alone counts. */
  readonly isAlone?: boolean;
  readonly maxReadyAgeMs?: number;
}

/** The one owner of a host's configuration. */
export class ConfigHolder {
  readonly #clock: Clock;
  readonly #isAlone: boolean;
  readonly #maxReadyAgeMs: number;
  readonly #ledger = new ConfigLedger();
  readonly #changed = new Emitter<ConfigState>();
  #activeState: ConfigState = this.#ledger.state;
  #pending: ConfigState[] = [];
  #isGrounded = false;
  #asOfMs = -Infinity;

  /** Fires when another version comes into force. */
  readonly onChange = this.#changed.event;

  constructor(options: ConfigHolderOptions = {}) {
    this.#clock = options.clock ?? systemClock;
    this.#isAlone = options.isAlone ?? false;
    this.#maxReadyAgeMs = options.maxReadyAgeMs ?? MAX_READY_AGE_MS;
  }

  /** The records known here, reduced. */
  get ledger(): ConfigLedger {
    return this.#ledger;
  }

  /** The version in force. */
  get state(): ConfigState {
    return this.#activeState;
  }

  /** Offset of the first record that is not known here. */
  get nextOffset(): number {
    return this.#ledger.nextOffset;
  }

  /** Every change below this offset is in force or was not accepted. */
  get stableOffset(): number {
    return this.#pending[0]?.offset ?? this.nextOffset;
  }

  get hasPending(): boolean {
    return this.#pending.length > 0;
  }

  /** True once the state was taken from the log or from a grounded peer. */
  get isGrounded(): boolean {
    return this.#isGrounded;
  }

  /** Monotonic time at which no accepted change was missing here. */
  get asOfMs(): number {
    return this.#asOfMs;
  }

  get isReady(): boolean {
    return this.#isGrounded && this.ageMs <= this.#maxReadyAgeMs;
  }

  /** Time since no accepted change was missing here. */
  get ageMs(): number {
    return this.#clock.nowMs() - this.#asOfMs;
  }

  /** The audit trail without what is not in force yet. */
  history(limit: number): AuditEntry[] {
    const { version } = this.#activeState;
    return this.#ledger.history(limit + this.#pending.length)
      .filter((entry) => (entry.version ?? 0) <= version)
      .slice(0, limit);
  }

  /** Takes records that follow on what is known; stops at a gap. */
  applyRecords(records: readonly LogRecord[]): void {
    for (const record of records) {
      if (record.offset > this.nextOffset) break;
      this.#reduce(record);
    }
    this.#activateBelow(this.#ledger.acceptedOffset);
  }

  /** Takes records read from the log itself, where offsets may skip. */
  applyLogRecords(records: readonly LogRecord[]): void {
    for (const record of records) this.#reduce(record);
    this.#activateBelow(this.#ledger.acceptedOffset);
  }

  /** Takes an accepted state that another host or the log vouches for. */
  install(snapshot: LedgerSnapshot): void {
    const { version } = this.#ledger.state;
    if (!this.#ledger.install(snapshot)) return;
    const { state } = this.#ledger;
    if (state.version > version) this.#pending.push(state);
    this.#activateBelow(snapshot.nextOffset);
  }

  /** The state in force, to be handed to a host that lags too far for records. */
  createSnapshot(): LedgerSnapshot {
    const nextOffset = this.stableOffset;
    return {
      state: this.#activeState,
      nextOffset,
      lastSnapshot: this.#ledger.lastSnapshot,
      results: this.#ledger.resultsBefore(nextOffset),
    };
  }

  /** Notes that the state comes from the log or from a grounded peer. */
  markGrounded(): void {
    this.#isGrounded = true;
  }

  /** Notes that most hosts know the changes below `offset`. */
  markStable(offset: number): void {
    this.#activateBelow(offset);
  }

  /** Notes that at `asOfMs` every accepted change was below `offset`. */
  advanceAsOf(asOfMs: number, offset: number): void {
    if (this.stableOffset < offset) return;
    this.#asOfMs = Math.max(
      this.#asOfMs,
      Math.min(asOfMs, this.#clock.nowMs()),
    );
  }

  #reduce(record: LogRecord): void {
    const before = this.#ledger.state;
    this.#ledger.reduce(record);
    const { state } = this.#ledger;
    if (state === before) return;
    this.#pending.push(state);
    // Whoever submitted this change had seen its base in force.
    this.#activateBelow(this.#isAlone ? Infinity : state.offset);
  }

  #activateBelow(offset: number): void {
    const before = this.#activeState;
    while (this.#pending.length > 0 && this.#pending[0].offset < offset) {
      this.#activeState = this.#pending.shift()!;
    }
    if (this.#activeState !== before) this.#changed.fire(this.#activeState);
  }
}

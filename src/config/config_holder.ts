/**
 * One host's copy of the configuration: the records that it has, the active
 * version, and the time at which it was last known to be complete.
 *
 * A change is accepted once the log holds it on top of its base version and a
 * majority of the hosts has it. A change that this host has, but whose
 * acceptance it has not been notified of, is pending and not active. So no
 * host serves a version that could be missing on the hosts that remain after
 * an outage of the log.
 *
 * @module
 */

import { type Clock, systemClock } from "../common/clock.ts";
import { Emitter } from "../common/emitter.ts";
import type { LogRecord } from "../clients/types.ts";
import { ConfigLedger } from "./ledger.ts";
import type { LedgerSnapshot } from "./records.ts";
import type { AuditEntry, ConfigState } from "./types.ts";

/** A host is ready for this long after it was last known to have every accepted change. */
export const MAX_READY_AGE_MS = 5_000;

export interface ConfigHolderOptions {
  readonly clock?: Clock;
  /** True when there are no peers: a change is accepted once the log holds it. */
  readonly isAlone?: boolean;
  readonly maxReadyAgeMs?: number;
}

/** Owns the configuration of one host. */
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

  /** Fires when another version becomes active. */
  readonly onChange = this.#changed.event;

  constructor(options: ConfigHolderOptions = {}) {
    this.#clock = options.clock ?? systemClock;
    this.#isAlone = options.isAlone ?? false;
    this.#maxReadyAgeMs = options.maxReadyAgeMs ?? MAX_READY_AGE_MS;
  }

  /** All records that this host has, reduced to a state, pending changes included. */
  get ledger(): ConfigLedger {
    return this.#ledger;
  }

  /** The active state. */
  get state(): ConfigState {
    return this.#activeState;
  }

  /** Offset of the first record that this host does not have. */
  get nextOffset(): number {
    return this.#ledger.nextOffset;
  }

  /** Every change below this offset is active or was rejected. */
  get stableOffset(): number {
    return this.#pending[0]?.offset ?? this.nextOffset;
  }

  get hasPending(): boolean {
    return this.#pending.length > 0;
  }

  /** True once the state derives from the log or from a grounded peer. */
  get isGrounded(): boolean {
    return this.#isGrounded;
  }

  /** Latest monotonic time at which this host had every accepted change. */
  get asOfMs(): number {
    return this.#asOfMs;
  }

  get isReady(): boolean {
    return this.#isGrounded && this.ageMs <= this.#maxReadyAgeMs;
  }

  /** Time since {@link asOfMs}. */
  get ageMs(): number {
    return this.#clock.nowMs() - this.#asOfMs;
  }

  /** The audit trail without pending changes, newest first. */
  history(limit: number): AuditEntry[] {
    const { version } = this.#activeState;
    return this.#ledger.history(limit + this.#pending.length)
      .filter((entry) => (entry.version ?? 0) <= version)
      .slice(0, limit);
  }

  /** Applies records received from a peer, up to the first gap. */
  applyRecords(records: readonly LogRecord[]): void {
    for (const record of records) {
      if (record.offset > this.nextOffset) break;
      this.#reduce(record);
    }
    this.#activateBelow(this.#ledger.acceptedOffset);
  }

  /** Applies records read from the log itself, where offsets may skip. */
  applyLogRecords(records: readonly LogRecord[]): void {
    for (const record of records) this.#reduce(record);
    this.#activateBelow(this.#ledger.acceptedOffset);
  }

  /** Installs an accepted state from another host or from the log. */
  install(snapshot: LedgerSnapshot): void {
    const { version } = this.#ledger.state;
    if (!this.#ledger.install(snapshot)) return;
    const { state } = this.#ledger;
    if (state.version > version) this.#pending.push(state);
    this.#activateBelow(snapshot.nextOffset);
  }

  /** The active state, for a host that lags too far behind to catch up by records. */
  createSnapshot(): LedgerSnapshot {
    const nextOffset = this.stableOffset;
    return {
      state: this.#activeState,
      nextOffset,
      lastSnapshot: this.#ledger.lastSnapshot,
      results: this.#ledger.resultsBefore(nextOffset),
    };
  }

  /** Records that the state derives from the log or from a grounded peer. */
  markGrounded(): void {
    this.#isGrounded = true;
  }

  /** Activates the changes below `offset`, which a majority of the hosts has. */
  markStable(offset: number): void {
    this.#activateBelow(offset);
  }

  /** Records that at `asOfMs` every accepted change was below `offset`. */
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
    // A change is submitted only while its base version is active, so all
    // earlier changes are accepted.
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

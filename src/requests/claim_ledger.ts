/**
 * The state of one claim stream: which claim holds each key. Every reader of
 * the same records in the log's order reaches the same state. Time is the
 * log's own, taken from the records.
 *
 * @module
 */

import type { LogRecord } from "../clients/types.ts";
import {
  type ClaimOp,
  type ClaimOpOutcome,
  type ClaimResult,
  parseClaimBatch,
} from "./claim_records.ts";

/** Options of `ClaimLedger`. */
export interface ClaimLedgerOptions {
  /** How long a key is remembered after its holder could last dispatch. */
  readonly windowMs: number;
}

interface HeldKey {
  readonly claimId: string;
  readonly holder: string;
  readonly expiresAtWallMs: number;
  result: ClaimResult | undefined;
}

/** Expired entries looked for with each op applied. */
const SWEPT_PER_OP = 4;

/** Reduces the records of one claim stream. */
export class ClaimLedger {
  readonly #windowMs: number;
  readonly #held = new Map<string, HeldKey>();
  /** Claims that lost or were released, with the time to forget them. */
  readonly #ended = new Map<string, number>();
  readonly #holders = new Map<string, string>();
  #heldSweep = this.#held.entries();
  #endedSweep = this.#ended.entries();
  #logWallMs = 0;
  #nextOffset = 0;

  constructor(options: ClaimLedgerOptions) {
    this.#windowMs = options.windowMs;
  }

  /** Offset of the next record to apply. */
  get nextOffset(): number {
    return this.#nextOffset;
  }

  /** Keys and ended claims in memory. */
  get size(): number {
    return this.#held.size + this.#ended.size;
  }

  /** Passes over records that have left retention: they are past the window. */
  skipTo(offset: number): void {
    this.#nextOffset = Math.max(this.#nextOffset, offset);
  }

  /** Applies the record at `nextOffset`; an earlier one is ignored. */
  apply(record: LogRecord): void {
    if (record.offset < this.#nextOffset) return;
    this.#nextOffset = record.offset + 1;
    this.#logWallMs = Math.max(this.#logWallMs, record.atWallMs);
    for (const op of parseClaimBatch(record.data) ?? []) {
      this.#applyOp(op);
      this.#sweep();
    }
  }

  /** What the records so far say of an op; undefined when they are silent. */
  outcomeOf(op: ClaimOp): ClaimOpOutcome | undefined {
    const held = this.#holderOf(op.key);
    if (op.kind === "release") {
      return this.#ended.has(op.claimId) ? { kind: "noted" } : undefined;
    }
    if (op.kind === "outcome") {
      return held?.claimId !== op.claimId || held.result !== undefined
        ? { kind: "noted" }
        : undefined;
    }
    if (held?.claimId === op.claimId) return { kind: "won" };
    if (held !== undefined) return lostTo(held);
    return this.#ended.has(op.claimId) ? { kind: "lost" } : undefined;
  }

  /**
   * Whether the key's holder is past its window at `wallMs`. The records do
   * not show it before one is that late, so only an append can tell.
   */
  mayHaveExpired(key: string, wallMs: number): boolean {
    const held = this.#held.get(key);
    return held !== undefined && held.expiresAtWallMs <= wallMs;
  }

  #applyOp(op: ClaimOp): void {
    switch (op.kind) {
      case "claim":
        return this.#applyClaim(op);
      case "release":
        return this.#applyRelease(op);
      case "outcome":
        return this.#applyOutcome(op);
    }
  }

  #applyClaim(op: Extract<ClaimOp, { kind: "claim" }>): void {
    if (this.#ended.has(op.claimId)) return;
    const held = this.#holderOf(op.key);
    if (held?.claimId === op.claimId) return;
    if (held !== undefined) return this.#endClaim(op.claimId);
    this.#held.set(op.key, {
      claimId: op.claimId,
      holder: this.#intern(op.holder),
      expiresAtWallMs: this.#logWallMs + op.lastsMs + this.#windowMs,
      result: undefined,
    });
  }

  /** Ends the claim even where it has not appeared: it may be under way. */
  #applyRelease(op: Extract<ClaimOp, { kind: "release" }>): void {
    const held = this.#holderOf(op.key);
    this.#endClaim(op.claimId);
    if (held?.claimId !== op.claimId || held.result !== undefined) return;
    this.#held.delete(op.key);
  }

  #applyOutcome(op: Extract<ClaimOp, { kind: "outcome" }>): void {
    const held = this.#holderOf(op.key);
    if (held?.claimId === op.claimId) held.result ??= op.result;
  }

  #holderOf(key: string): HeldKey | undefined {
    const held = this.#held.get(key);
    if (held === undefined || held.expiresAtWallMs > this.#logWallMs) {
      return held;
    }
    this.#held.delete(key);
    return undefined;
  }

  #endClaim(claimId: string): void {
    this.#ended.set(claimId, this.#logWallMs + this.#windowMs);
  }

  /** Keeps one string for each holder, however many records name it. */
  #intern(holder: string): string {
    const known = this.#holders.get(holder);
    if (known !== undefined) return known;
    if (this.#holders.size >= 10_000) this.#holders.clear();
    this.#holders.set(holder, holder);
    return holder;
  }

  /** Forgets some of what has expired, so that the whole map is passed in turn. */
  #sweep(): void {
    for (let swept = 0; swept < SWEPT_PER_OP; swept += 1) {
      const held = this.#heldSweep.next();
      if (held.done) this.#heldSweep = this.#held.entries();
      else if (held.value[1].expiresAtWallMs <= this.#logWallMs) {
        this.#held.delete(held.value[0]);
      }
      const ended = this.#endedSweep.next();
      if (ended.done) this.#endedSweep = this.#ended.entries();
      else if (ended.value[1] <= this.#logWallMs) {
        this.#ended.delete(ended.value[0]);
      }
    }
  }
}

function lostTo(held: HeldKey): ClaimOpOutcome {
  const { claimId, holder, result } = held;
  return { kind: "lost", claimId, holder, ...(result ? { result } : {}) };
}

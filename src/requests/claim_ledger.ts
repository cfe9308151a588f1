/**
 * State machine over one claim stream: which claim holds each key. The state is
 * a deterministic function of the records in log order; time is taken from the
 * records, not from the local clock.
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

export interface ClaimLedgerOptions {
  /** Time for which a key is kept after its holder may no longer dispatch. */
  readonly windowMs: number;
}

interface HeldKey {
  readonly claimId: string;
  readonly holder: string;
  readonly expiresAtWallMs: number;
  result: ClaimResult | undefined;
}

/** Entries checked for expiry per applied op. */
const SWEPT_PER_OP = 4;

export class ClaimLedger {
  readonly #windowMs: number;
  readonly #held = new Map<string, HeldKey>();
  /** Claims that lost or were released, with their expiry. */
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

  /** Number of keys and ended claims in memory. */
  get size(): number {
    return this.#held.size + this.#ended.size;
  }

  /** Skips records that the log has deleted: their keys have expired. */
  skipTo(offset: number): void {
    this.#nextOffset = Math.max(this.#nextOffset, offset);
  }

  /** Applies the record at `nextOffset`; earlier records are ignored. */
  apply(record: LogRecord): void {
    if (record.offset < this.#nextOffset) return;
    this.#nextOffset = record.offset + 1;
    this.#logWallMs = Math.max(this.#logWallMs, record.atWallMs);
    for (const op of parseClaimBatch(record.data) ?? []) {
      this.#applyOp(op);
      this.#sweep();
    }
  }

  /** Outcome of an op by the records applied so far; undefined if undecided. */
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
   * Whether the key has expired by `wallMs`. The ledger's time advances only
   * with records, so an append is needed to establish the expiry.
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

  /** Ends the claim even if its own record is still in flight. */
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

  /** Interns holder names: many records carry the same name. */
  #intern(holder: string): string {
    const known = this.#holders.get(holder);
    if (known !== undefined) return known;
    if (this.#holders.size >= 10_000) this.#holders.clear();
    this.#holders.set(holder, holder);
    return holder;
  }

  /** Removes expired entries incrementally, cycling through both maps. */
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

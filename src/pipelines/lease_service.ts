/**
 * Leases stored as records in the log. A lease only avoids duplicate work, since
 * one host then sends the orders of a pool. Safety depends on fencing and on
 * reading the state of targets back.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { Ok } from "ts-results-es";
import type { Clock } from "../common/clock.ts";
import { systemClock } from "../common/clock.ts";
import { notRun, type Outcome } from "../common/verdict.ts";
import type { ILogClient } from "../clients/services.ts";
import { LeaseLedger, type LeaseRecord } from "./lease_ledger.ts";

const STREAM = "leases";
const EXPIRES_AFTER_MS = 15_000;
/** Time between the end of a lease for its holder and its expiry for the others. */
const SAFETY_MARGIN_MS = 2_000;
const READ_LIMIT = 1_000;

export interface LeaseServiceOptions {
  readonly log: ILogClient;
  /** Name of this host; must be unique for each start. */
  readonly host: string;
  readonly clock?: Clock;
  readonly newId?: () => string;
  readonly expiresAfterMs?: number;
}

/** A lease held by this host at the time it is returned. */
export interface Lease {
  readonly name: string;
  /** Fencing number. */
  readonly fence: number;
  /** On this host's monotonic clock; no order may be sent afterwards. */
  readonly validUntilMs: number;
}

export class LeaseService {
  readonly #log: ILogClient;
  readonly #host: string;
  readonly #clock: Clock;
  readonly #newId: () => string;
  readonly #expiresAfterMs: number;
  readonly #ledger = new LeaseLedger();
  /** Time just before each of this host's records was sent, by record identifier. */
  readonly #sentAtMs = new Map<string, number>();
  #nextOffset = 0;
  #firstOffset = 0;

  constructor(options: LeaseServiceOptions) {
    this.#log = options.log;
    this.#host = options.host;
    this.#clock = options.clock ?? systemClock;
    this.#newId = options.newId ?? randomUUID;
    this.#expiresAfterMs = options.expiresAfterMs ?? EXPIRES_AFTER_MS;
  }

  /** Fails with `claim-held` while another host holds the lease. */
  async acquireOrRenew(
    name: string,
    options: { readonly deadlineMs: number },
  ): Promise<Outcome<Lease>> {
    const caughtUp = await this.#catchUp(options.deadlineMs);
    if (caughtUp.isErr()) return caughtUp;
    const conflict = this.#heldByOther(name);
    if (conflict) return conflict;
    const appended = await this.#append(
      this.#acquireOrRenewRecord(name),
      options,
    );
    if (appended.isErr()) return appended;
    const lease = this.#ownLease(name);
    if (lease) return new Ok(lease);
    return this.#heldByOther(name) ??
      notRun("claim-held", `another host acquired lease "${name}" first`);
  }

  /** Releases a lease before its expiry, so that another host can acquire it. */
  async release(
    lease: Lease,
    options: { readonly deadlineMs: number },
  ): Promise<void> {
    const known = this.#ledger.get(lease.name);
    if (known?.fence !== lease.fence) return;
    const record: LeaseRecord = {
      action: "release",
      lease: lease.name,
      holder: this.#host,
      expectedOffset: known.lastOffset,
    };
    await this.#append(record, options);
  }

  #acquireOrRenewRecord(name: string): LeaseRecord {
    const known = this.#ledger.get(name);
    const expectedOffset = known?.lastOffset ?? -1;
    const common = { lease: name, holder: this.#host, expectedOffset };
    if (this.#ownLease(name)) return { action: "renew", ...common };
    return {
      action: "acquire",
      ...common,
      readableFrom: this.#firstOffset,
      expiresAfterMs: this.#expiresAfterMs,
    };
  }

  #heldByOther(name: string): Outcome<Lease> | undefined {
    const known = this.#ledger.get(name);
    if (!known || known.isReleased || known.holder === this.#host) return;
    if (known.endsAtWallMs <= this.#clock.wallMs()) return;
    return notRun("claim-held", `"${known.holder}" holds lease "${name}"`, {
      retryAtWallMs: known.endsAtWallMs,
    });
  }

  /** The lease, if this host holds it according to the log and it is still valid. */
  #ownLease(name: string): Lease | undefined {
    const known = this.#ledger.get(name);
    if (known?.holder !== this.#host || known.isReleased) return undefined;
    const sentAtMs = this.#sentAtMs.get(known.lastId);
    if (sentAtMs === undefined) return undefined;
    const validUntilMs = sentAtMs + known.expiresAfterMs - SAFETY_MARGIN_MS;
    if (validUntilMs <= this.#clock.nowMs()) return undefined;
    return { name, fence: known.fence, validUntilMs };
  }

  /** Appends a record and reads the log, which settles the outcome of a lost reply. */
  async #append(
    record: LeaseRecord,
    options: { readonly deadlineMs: number },
  ): Promise<Outcome<void>> {
    const id = this.#newId();
    this.#pruneSentTimes();
    this.#sentAtMs.set(id, this.#clock.nowMs());
    const appended = await this.#log.append(
      STREAM,
      [{ id, data: record }],
      options,
    );
    if (appended.isErr() && appended.error.verdict === "not-run") {
      return appended;
    }
    return this.#catchUp(options.deadlineMs);
  }

  async #catchUp(deadlineMs: number): Promise<Outcome<void>> {
    for (;;) {
      const page = await this.#log.read(STREAM, this.#nextOffset, {
        deadlineMs,
        limit: READ_LIMIT,
      });
      if (page.isErr()) return page;
      const { records, firstOffset, nextOffset } = page.value;
      this.#firstOffset = firstOffset;
      for (const record of records) {
        if (record.offset < this.#nextOffset) continue;
        this.#ledger.apply(record);
        this.#nextOffset = record.offset + 1;
      }
      if (records.length === 0 || this.#nextOffset >= nextOffset) break;
    }
    return new Ok(undefined);
  }

  #pruneSentTimes(): void {
    const oldestMs = this.#clock.nowMs() - 2 * this.#expiresAfterMs;
    for (const [id, sentAtMs] of this.#sentAtMs) {
      if (sentAtMs < oldestMs) this.#sentAtMs.delete(id);
    }
  }
}

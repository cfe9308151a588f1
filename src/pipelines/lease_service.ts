/**
 * Leases kept as records of the log. A lease saves work, since one host then
 * sends the orders of a pool; safety rests on fencing and reading back.
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
/** The holder stops this long before the others may begin. */
const SAFETY_MARGIN_MS = 2_000;
const READ_LIMIT = 1_000;

/** Collaborators of a `LeaseService`. */
export interface LeaseServiceOptions {
  readonly log: ILogClient;
  /** This host's name, new for each start. */
  readonly host: string;
  readonly clock?: Clock;
  readonly newId?: () => string;
  readonly expiresAfterMs?: number;
}

/** A lease that this host held when it was returned. */
export interface Lease {
  readonly name: string;
  /** Fencing number. */
  readonly fence: number;
  /** On this host's monotonic clock; no order may be sent after it. */
  readonly validUntilMs: number;
}

/** Acquires, renews and releases leases. */
export class LeaseService {
  readonly #log: ILogClient;
  readonly #host: string;
  readonly #clock: Clock;
  readonly #newId: () => string;
  readonly #expiresAfterMs: number;
  readonly #ledger = new LeaseLedger();
  /** When each of this host's own records was about to be sent. */
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

  /** Acquires or renews a lease; fails while another host holds it. */
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
      notRun("claim-held", `the race for lease "${name}" was lost`);
  }

  /** Gives a lease back, so that another host need not wait for its end. */
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

  /** The lease, if the log says that it is this host's and time is left. */
  #ownLease(name: string): Lease | undefined {
    const known = this.#ledger.get(name);
    if (known?.holder !== this.#host || known.isReleased) return undefined;
    const sentAtMs = this.#sentAtMs.get(known.lastId);
    if (sentAtMs === undefined) return undefined;
    const validUntilMs = sentAtMs + known.expiresAfterMs - SAFETY_MARGIN_MS;
    if (validUntilMs <= this.#clock.nowMs()) return undefined;
    return { name, fence: known.fence, validUntilMs };
  }

  /** Appends a record and reads on, which also settles a lost answer. */
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

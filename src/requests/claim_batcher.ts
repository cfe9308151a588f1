/**
 * Batches the ops of one claim stream into few appends and reads their outcomes
 * from log order. Several hosts may batch the same partition concurrently.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { ILogClient } from "../clients/services.ts";
import type { AppendBudget } from "./append_budget.ts";
import type { ClaimLedger } from "./claim_ledger.ts";
import { ClaimReader } from "./claim_reader.ts";
import {
  type ClaimOp,
  type ClaimOpOutcome,
  claimStream,
} from "./claim_records.ts";
import { type Deferred, deferred } from "../common/deferred.ts";

export interface ClaimBatcherOptions {
  readonly clock: Clock;
  readonly log: ILogClient;
  readonly partition: number;
  readonly windowMs: number;
  /** Budget that the next append is charged to. */
  readonly budget: () => AppendBudget;
  /** Generates record ids that are unique in the fleet. */
  readonly newId: () => string;
  /** Minimum interval between two appends. */
  readonly batchIntervalMs: number;
  /** Time-out of one call to the log. */
  readonly logTimeoutMs: number;
  /** Maximum number of ops in one record. */
  readonly maxBatchSize: number;
  /** Maximum number of queued ops. */
  readonly maxPending: number;
}

interface PendingOp {
  readonly op: ClaimOp;
  readonly deadlineMs: number;
  readonly outcome: Deferred<ClaimOpOutcome>;
}

const LOG_DOWN = "the log is unresponsive";
const INITIAL_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 2_000;

/** Batches the ops of one partition on this host. */
export class ClaimBatcher {
  readonly #options: ClaimBatcherOptions;
  readonly #stream: string;
  readonly #reader: ClaimReader;
  readonly #ledger: ClaimLedger;
  /** Ids of records appended by this host and not yet read back. */
  readonly #ownRecords = new Set<string>();
  #pending: PendingOp[] = [];
  #isProcessing = false;
  #lastAppendMs = -Infinity;
  #backoffMs = 0;
  #outageUntilMs = -Infinity;

  constructor(options: ClaimBatcherOptions) {
    this.#options = options;
    this.#stream = claimStream(options.partition);
    this.#reader = new ClaimReader({
      ...options,
      stream: this.#stream,
      onRecord: (id) => this.#chargeRecord(id),
    });
    this.#ledger = this.#reader.ledger;
  }

  /** Number of keys and ended claims in the ledger. */
  get size(): number {
    return this.#ledger.size;
  }

  /** Resolves with the outcome of an op; refuses it while the log is down. */
  submit(
    op: ClaimOp,
    options: { deadlineMs: number },
  ): Promise<ClaimOpOutcome> {
    const { clock, maxPending, batchIntervalMs } = this.#options;
    const untilMs = this.#outageUntilMs - clock.nowMs();
    if (untilMs > 0) {
      return Promise.resolve(refused(LOG_DOWN, untilMs));
    }
    if (this.#pending.length >= maxPending) {
      return Promise.resolve(
        refused("the queue of claim operations is full", batchIntervalMs),
      );
    }
    const isProbing = this.#backoffMs > 0 && this.#isProcessing;
    if (isProbing) {
      return Promise.resolve(
        refused("the log is being probed after an outage", INITIAL_BACKOFF_MS),
      );
    }
    const outcome = deferred<ClaimOpOutcome>();
    this.#pending.push({ op, deadlineMs: options.deadlineMs, outcome });
    if (!this.#isProcessing) void this.#processPending();
    return outcome.promise;
  }

  async #processPending(): Promise<void> {
    const { clock, batchIntervalMs } = this.#options;
    this.#isProcessing = true;
    while (this.#pending.length > 0) {
      const dueMs = this.#lastAppendMs + batchIntervalMs - clock.nowMs();
      const waitMs = Math.max(dueMs, this.#options.budget().waitMs());
      this.#refuseExpired(waitMs);
      if (waitMs > 0) await clock.sleep(waitMs);
      else await this.#appendBatch();
    }
    this.#isProcessing = false;
  }

  /** Refuses ops that cannot be appended before their deadline. */
  #refuseExpired(waitMs: number): void {
    const atMs = this.#options.clock.nowMs() + waitMs;
    const isExpired = (entry: PendingOp) => entry.deadlineMs <= atMs;
    const expired = this.#pending.filter(isExpired);
    this.#pending = this.#pending.filter((entry) => !isExpired(entry));
    for (const { outcome } of expired) {
      outcome.resolve(refused("the append budget is exhausted", waitMs));
    }
  }

  async #appendBatch(): Promise<void> {
    const batch = this.#pending.splice(0, this.#options.maxBatchSize);
    this.#lastAppendMs = this.#options.clock.nowMs();
    const undecided = await this.#resolveDecided(batch);
    if (undecided.length === 0) return;
    const recordId = this.#options.newId();
    this.#ownRecords.add(recordId);
    this.#options.budget().consume();
    const data = { ops: undecided.map((entry) => entry.op) };
    const appended = await this.#options.log.append(
      this.#stream,
      [{ id: recordId, data }],
      { deadlineMs: this.#logDeadlineMs() },
    );
    if (appended.isErr() && appended.error.verdict === "not-run") {
      this.#ownRecords.delete(recordId);
      return this.#refuseAll(undecided);
    }
    const caughtUp = await this.#reader.catchUp(appended.unwrapOr(-1));
    const isRead = caughtUp.isOk() && !this.#ownRecords.delete(recordId);
    if (isRead) this.#backoffMs = 0;
    else this.#backOff();
    for (const { op, outcome } of undecided) {
      outcome.resolve(this.#ledger.outcomeOf(op) ?? unsettled());
    }
  }

  /** Resolves the ops whose outcome the log already shows; returns the rest. */
  async #resolveDecided(batch: PendingOp[]): Promise<PendingOp[]> {
    const isKnown = ({ op }: PendingOp) =>
      this.#ledger.outcomeOf(op) !== undefined;
    if (!this.#reader.hasCaughtUp || batch.some(isKnown)) {
      const caughtUp = await this.#reader.catchUp();
      if (caughtUp.isErr()) {
        this.#refuseAll(batch);
        return [];
      }
    }
    const wallMs = this.#options.clock.wallMs();
    const undecided: PendingOp[] = [];
    for (const entry of batch) {
      const outcome = this.#ledger.outcomeOf(entry.op);
      const mayBeOpen = outcome === undefined ||
        this.#ledger.mayHaveExpired(entry.op.key, wallMs);
      if (mayBeOpen) undecided.push(entry);
      else entry.outcome.resolve(outcome);
    }
    return undecided;
  }

  /** Charges appends of other hosts to the budget: all hosts share one rate. */
  #chargeRecord(id: string): void {
    const isOwn = this.#ownRecords.delete(id);
    if (!isOwn && this.#reader.hasCaughtUp) this.#options.budget().consume();
  }

  #refuseAll(batch: readonly PendingOp[]): void {
    this.#backOff();
    const waitMs = this.#outageUntilMs - this.#options.clock.nowMs();
    for (const { outcome } of batch) outcome.resolve(refused(LOG_DOWN, waitMs));
  }

  /** Suspends calls to the log, with exponential backoff. */
  #backOff(): void {
    this.#backoffMs = Math.min(
      MAX_BACKOFF_MS,
      Math.max(INITIAL_BACKOFF_MS, this.#backoffMs * 2),
    );
    this.#outageUntilMs = this.#options.clock.nowMs() + this.#backoffMs;
  }

  #logDeadlineMs(): number {
    return this.#options.clock.nowMs() + this.#options.logTimeoutMs;
  }
}

function refused(message: string, retryAfterMs: number): ClaimOpOutcome {
  return { kind: "refused", message, retryAfterMs: Math.max(0, retryAfterMs) };
}

function unsettled(): ClaimOpOutcome {
  return {
    kind: "unsettled",
    message: "the log did not confirm whether the record was appended",
  };
}

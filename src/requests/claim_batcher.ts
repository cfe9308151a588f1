/**
 * Gathers the ops of one claim stream into few appends and reads their fates
 * from the log's order. Any host may run one for any partition at any time.
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

/** Options of `ClaimGrouper`. */
export interface ClaimBatcherOptions {
  readonly clock: Clock;
  readonly log: ILogClient;
  readonly partition: number;
  readonly windowMs: number;
  /** The bucket that pays for the next append. */
  readonly budget: () => AppendBudget;
  /** Makes identifiers of records, each unique over the fleet. */
  readonly newId: () => string;
  /** Shortest time between two appends. */
  readonly batchIntervalMs: number;
  /** How long one call of the log may take. */
  readonly logTimeoutMs: number;
  /** Ops in one record, and waiting, at most. */
  readonly maxBatchSize: number;
  readonly maxPending: number;
}

interface PendingOp {
  readonly op: ClaimOp;
  readonly deadlineMs: number;
  readonly outcome: Deferred<ClaimOpOutcome>;
}

const LOG_DOWN = "the log does not answer";
const INITIAL_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 2_000;

/** Groups the ops of one partition on this host. */
export class ClaimBatcher {
  readonly #options: ClaimBatcherOptions;
  readonly #stream: string;
  readonly #reader: ClaimReader;
  readonly #ledger: ClaimLedger;
  /** Records appended here that have not been read back. */
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

  /** Keys and claims that the ledger holds. */
  get size(): number {
    return this.#ledger.size;
  }

  /** Resolves with the fate of an op; at once while the log is down. */
  submit(
    op: ClaimOp,
    options: { deadlineMs: number },
  ): Promise<ClaimOpOutcome> {
    const { clock, maxPending, batchIntervalMs: batchIntervalMs } =
      this.#options;
    const untilMs = this.#outageUntilMs - clock.nowMs();
    if (untilMs > 0) {
      return Promise.resolve(refused(LOG_DOWN, untilMs));
    }
    if (this.#pending.length >= maxPending) {
      return Promise.resolve(refused("too many claims wait", batchIntervalMs));
    }
    const isProbing = this.#backoffMs > 0 && this.#isProcessing;
    if (isProbing) {
      return Promise.resolve(
        refused("the log is being tried", INITIAL_BACKOFF_MS),
      );
    }
    const outcome = deferred<ClaimOpOutcome>();
    this.#pending.push({
      op,
      deadlineMs: options.deadlineMs,
      outcome: outcome,
    });
    if (!this.#isProcessing) void this.#processPending();
    return outcome.promise;
  }

  async #processPending(): Promise<void> {
    const { clock, batchIntervalMs: batchIntervalMs } = this.#options;
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

  /** Refuses at once what cannot be appended before its deadline. */
  #refuseExpired(waitMs: number): void {
    const atMs = this.#options.clock.nowMs() + waitMs;
    const isLate = (entry: PendingOp) => entry.deadlineMs <= atMs;
    const late = this.#pending.filter(isLate);
    this.#pending = this.#pending.filter((entry) => !isLate(entry));
    for (const { outcome: outcome } of late) {
      outcome.resolve(refused("the append budget is spent", waitMs));
    }
  }

  async #appendBatch(): Promise<void> {
    const group = this.#pending.splice(0, this.#options.maxBatchSize);
    this.#lastAppendMs = this.#options.clock.nowMs();
    const fresh = await this.#resolveDecided(group);
    if (fresh.length === 0) return;
    const recordId = this.#options.newId();
    this.#ownRecords.add(recordId);
    this.#options.budget().consume();
    const data = { ops: fresh.map((entry) => entry.op) };
    const appended = await this.#options.log.append(
      this.#stream,
      [{ id: recordId, data }],
      { deadlineMs: this.#logDeadlineMs() },
    );
    if (appended.isErr() && appended.error.verdict === "not-run") {
      this.#ownRecords.delete(recordId);
      return this.#refuseAll(fresh);
    }
    const caughtUp = await this.#reader.catchUp(appended.unwrapOr(-1));
    const isRead = caughtUp.isOk() && !this.#ownRecords.delete(recordId);
    if (isRead) this.#backoffMs = 0;
    else this.#backOff();
    for (const { op, outcome: outcome } of fresh) {
      outcome.resolve(this.#ledger.outcomeOf(op) ?? unsettled());
    }
  }

  /** Answers what the log has already decided, and returns the rest. */
  async #resolveDecided(group: PendingOp[]): Promise<PendingOp[]> {
    const isKnown = ({ op }: PendingOp) =>
      this.#ledger.outcomeOf(op) !== undefined;
    if (!this.#reader.hasCaughtUp || group.some(isKnown)) {
      const caughtUp = await this.#reader.catchUp();
      if (caughtUp.isErr()) {
        this.#refuseAll(group);
        return [];
      }
    }
    const wallMs = this.#options.clock.wallMs();
    const fresh: PendingOp[] = [];
    for (const entry of group) {
      const outcome = this.#ledger.outcomeOf(entry.op);
      const mayBeOpen = outcome === undefined ||
        this.#ledger.mayHaveExpired(entry.op.key, wallMs);
      if (mayBeOpen) fresh.push(entry);
      else entry.outcome.resolve(outcome);
    }
    return fresh;
  }

  /** Charges other hosts' appends to the budget, so that all share one rate. */
  #chargeRecord(id: string): void {
    const isOwn = this.#ownRecords.delete(id);
    if (!isOwn && this.#reader.hasCaughtUp) this.#options.budget().consume();
  }

  #refuseAll(group: readonly PendingOp[]): void {
    this.#backOff();
    const waitMs = this.#outageUntilMs - this.#options.clock.nowMs();
    for (const { outcome: outcome } of group) {
      outcome.resolve(refused(LOG_DOWN, waitMs));
    }
  }

  /** Sends nothing to the log for a while, longer each time. */
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
  return { kind: "unsettled", message: "the log's answer was lost" };
}

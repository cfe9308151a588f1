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
import { type ClaimFate, type ClaimOp, claimStream } from "./claim_records.ts";
import { type Deferred, deferred } from "../common/deferred.ts";

/** Options of `ClaimGrouper`. */
export interface ClaimGrouperOptions {
  readonly clock: Clock;
  readonly log: ILogClient;
  readonly partition: number;
  readonly windowMs: number;
  /** The bucket that pays for the next append. */
  readonly budget: () => AppendBudget;
  /** Makes identifiers of records, each unique over the fleet. */
  readonly newId: () => string;
  /** Shortest time between two appends. */
  readonly groupEveryMs: number;
  /** How long one call of the log may take. */
  readonly logWithinMs: number;
  /** Ops in one record, and waiting, at most. */
  readonly maxBatch: number;
  readonly maxPending: number;
}

interface PendingOp {
  readonly op: ClaimOp;
  readonly deadlineMs: number;
  readonly fate: Deferred<ClaimFate>;
}

const LOG_SILENT = "the log does not answer";
const FIRST_BACKOFF_MS = 250;
const LAST_BACKOFF_MS = 2_000;

/** Groups the ops of one partition on this host. */
export class ClaimGrouper {
  readonly #options: ClaimGrouperOptions;
  readonly #stream: string;
  readonly #reader: ClaimReader;
  readonly #ledger: ClaimLedger;
  /** Records appended here that have not been read back. */
  readonly #ownRecords = new Set<string>();
  #pending: PendingOp[] = [];
  #isWorking = false;
  #lastAppendMs = -Infinity;
  #backoffMs = 0;
  #outageUntilMs = -Infinity;

  constructor(options: ClaimGrouperOptions) {
    this.#options = options;
    this.#stream = claimStream(options.partition);
    this.#reader = new ClaimReader({
      ...options,
      stream: this.#stream,
      onRecord: (id) => this.#noteRecord(id),
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
  ): Promise<ClaimFate> {
    const { clock, maxPending, groupEveryMs } = this.#options;
    const untilMs = this.#outageUntilMs - clock.nowMs();
    if (untilMs > 0) {
      return Promise.resolve(refused(LOG_SILENT, untilMs));
    }
    if (this.#pending.length >= maxPending) {
      return Promise.resolve(refused("too many claims wait", groupEveryMs));
    }
    const isProbing = this.#backoffMs > 0 && this.#isWorking;
    if (isProbing) {
      return Promise.resolve(
        refused("the log is being tried", FIRST_BACKOFF_MS),
      );
    }
    const fate = deferred<ClaimFate>();
    this.#pending.push({ op, deadlineMs: options.deadlineMs, fate });
    if (!this.#isWorking) void this.#work();
    return fate.promise;
  }

  async #work(): Promise<void> {
    const { clock, groupEveryMs } = this.#options;
    this.#isWorking = true;
    while (this.#pending.length > 0) {
      const dueMs = this.#lastAppendMs + groupEveryMs - clock.nowMs();
      const waitMs = Math.max(dueMs, this.#options.budget().waitMs());
      this.#refuseLate(waitMs);
      if (waitMs > 0) await clock.sleep(waitMs);
      else await this.#settleGroup();
    }
    this.#isWorking = false;
  }

  /** Refuses at once what cannot be appended before its deadline. */
  #refuseLate(waitMs: number): void {
    const atMs = this.#options.clock.nowMs() + waitMs;
    const isLate = (entry: PendingOp) => entry.deadlineMs <= atMs;
    const late = this.#pending.filter(isLate);
    this.#pending = this.#pending.filter((entry) => !isLate(entry));
    for (const { fate } of late) {
      fate.resolve(refused("the append budget is spent", waitMs));
    }
  }

  async #settleGroup(): Promise<void> {
    const group = this.#pending.splice(0, this.#options.maxBatch);
    this.#lastAppendMs = this.#options.clock.nowMs();
    const fresh = await this.#withoutKnown(group);
    if (fresh.length === 0) return;
    const recordId = this.#options.newId();
    this.#ownRecords.add(recordId);
    this.#options.budget().take();
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
    else this.#noteOutage();
    for (const { op, fate } of fresh) {
      fate.resolve(this.#ledger.fateOf(op) ?? unsettled());
    }
  }

  /** Answers what the log has already decided, and returns the rest. */
  async #withoutKnown(group: PendingOp[]): Promise<PendingOp[]> {
    const isKnown = ({ op }: PendingOp) =>
      this.#ledger.fateOf(op) !== undefined;
    if (!this.#reader.hasStarted || group.some(isKnown)) {
      const caughtUp = await this.#reader.catchUp();
      if (caughtUp.isErr()) {
        this.#refuseAll(group);
        return [];
      }
    }
    const wallMs = this.#options.clock.wallMs();
    const fresh: PendingOp[] = [];
    for (const entry of group) {
      const fate = this.#ledger.fateOf(entry.op);
      const mayBeOpen = fate === undefined ||
        this.#ledger.mayHaveExpired(entry.op.key, wallMs);
      if (mayBeOpen) fresh.push(entry);
      else entry.fate.resolve(fate);
    }
    return fresh;
  }

  /** Charges other hosts' appends to the budget, so that all share one rate. */
  #noteRecord(id: string): void {
    const isOwn = this.#ownRecords.delete(id);
    if (!isOwn && this.#reader.hasStarted) this.#options.budget().take();
  }

  #refuseAll(group: readonly PendingOp[]): void {
    this.#noteOutage();
    const waitMs = this.#outageUntilMs - this.#options.clock.nowMs();
    for (const { fate } of group) fate.resolve(refused(LOG_SILENT, waitMs));
  }

  /** Sends nothing to the log for a while, longer each time. */
  #noteOutage(): void {
    this.#backoffMs = Math.min(
      LAST_BACKOFF_MS,
      Math.max(FIRST_BACKOFF_MS, this.#backoffMs * 2),
    );
    this.#outageUntilMs = this.#options.clock.nowMs() + this.#backoffMs;
  }

  #logDeadlineMs(): number {
    return this.#options.clock.nowMs() + this.#options.logWithinMs;
  }
}

function refused(message: string, retryAfterMs: number): ClaimFate {
  return { kind: "refused", message, retryAfterMs: Math.max(0, retryAfterMs) };
}

function unsettled(): ClaimFate {
  return { kind: "unsettled", message: "the log's answer was lost" };
}

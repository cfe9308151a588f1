/**
 * Checks that the targets of a path respond, by requesting their reports. The
 * first target is asked before the others, since its report may name the one at
 * fault. Concurrent checks of the same target share one probe.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { ITargetControl } from "../ports/services.ts";
import type { PathStage } from "../ports/types.ts";
import { applyReport } from "./apply_report.ts";
import type { Target } from "./target.ts";
import type { TargetReachability } from "./target_reachability.ts";
import type { TargetTable } from "./target_table.ts";

/** A healthy target reports within a few milliseconds. */
const PROBE_TIMEOUT_MS = 70;
/**
 * Upper bound of the probe timeout while reports are slow because this host's
 * own link may be full.
 */
const MAX_PROBE_TIMEOUT_MS = 300;
/**
 * Outlasts the probe, so that a report received after the probe timed out still
 * counts.
 */
const REPORT_TIMEOUT_MS = 400;
/** Probe timeout relative to the slowest recent report. */
const PROBE_TIMEOUT_FACTOR = 2.5;
/** Time for which a slow report extends the probe timeout. */
const SLOW_REPORT_RETENTION_MS = 2_000;
/**
 * Delay before a second request on another connection, since the first may be
 * broken or lose packets.
 */
const HEDGE_DELAY_MS = 25;
/** Least time between two queries of a target. */
export const QUERY_INTERVAL_MS = 400;
/** The same for a target that another host has begun to suspect. */
const SUSPECT_QUERY_INTERVAL_MS = 100;
/** A stream that made progress this recently shows that its targets work. */
const RECENT_ACTIVITY_MS = 100;
/**
 * A target in another failure domain is the preferred reference unless its last
 * report is older by this.
 */
const OTHER_DOMAIN_PREFERENCE_MS = 5_000;
/** A timer that fires this late shows that this process was blocked. */
const MAX_TIMER_DELAY_MS = 25;

/** Limits the queries of checks. */
export interface QueryBudget {
  /** Counts a query unless there is no room for it. */
  tryAcquire(): boolean;
  /** Counts a query that is sent in any case. */
  record(): void;
}

const UNLIMITED: QueryBudget = { tryAcquire: () => true, record: () => {} };

export interface CheckOptions {
  /** The request that waits for an event. */
  readonly requestId?: string;
  /** Whether it still does. */
  readonly isOverdue?: () => boolean;
  readonly budget?: QueryBudget;
}

export interface StageCheckerOptions {
  readonly targetTable: TargetTable;
  readonly control: ITargetControl;
  readonly clock: Clock;
  readonly reachability: Pick<
    TargetReachability,
    "reportSilent" | "confirmCutOff"
  >;
  /** Resolves when what has arrived at this process has been read. */
  readonly readArrived?: () => Promise<void>;
}

/** Probes targets and updates the target table with the results. */
export class StageChecker {
  readonly #options: StageCheckerOptions;
  readonly #readArrived: () => Promise<void>;
  readonly #pending = new Map<string, Promise<void>>();
  readonly #reportedMs = new Map<string, number>();
  /** Suspected targets that were asked since the suspicion began. */
  readonly #askedSuspects = new Set<string>();
  #checkCount = 0;
  #referenceProbes = 0;
  #slowestReportMs = 0;
  #slowUntilMs = -Infinity;

  constructor(options: StageCheckerOptions) {
    this.#options = options;
    this.#readArrived = options.readArrived ??
      (() => new Promise((resolve) => setImmediate(resolve)));
    options.targetTable.onChange(({ id, isRemoved }) => {
      if (!isRemoved) return;
      this.#reportedMs.delete(id);
      this.#askedSuspects.delete(id);
    });
  }

  /**
   * Resolves when each target that was asked has reported, is marked as
   * unresponsive, or could not be judged. Not asked are targets that reported a
   * moment ago, targets over which another stream has made progress after
   * `stalledSinceMs` and a moment ago, and those for which the budget has no
   * room. The targets after the first are asked once it has reported, unless it
   * names the one that the request waits for, or takes longer than usual.
   */
  async check(
    stages: readonly PathStage[],
    stalledSinceMs = Infinity,
    options: CheckOptions = {},
  ): Promise<void> {
    const { requestId, isOverdue = () => true, budget = UNLIMITED } = options;
    const due = stages.filter((stage) => this.#isDue(stage, stalledSinceMs));
    const isUrgent = (stage: PathStage): boolean =>
      stage === stages[0] ||
      this.#options.targetTable.get(stage.targetId)?.isSuspect === true;
    const probes = due.filter(isUrgent).map((stage) =>
      this.#checkStage(stage, budget)
    );
    if (due.length > 0 && due[0] === stages[0]) {
      const delay = this.#options.clock.sleep(HEDGE_DELAY_MS);
      await Promise.race([probes[0], delay]);
    }
    if (
      isOverdue() &&
      !this.#isExplained(stages[0], { requestId, stalledSinceMs })
    ) {
      const others = due.filter((stage) => !isUrgent(stage));
      probes.push(
        ...this.#longestUnheardFirst(others).map((stage) =>
          this.#checkStage(stage, budget)
        ),
      );
    }
    await Promise.all(probes);
  }

  #isDue({ targetId }: PathStage, stalledSinceMs: number): boolean {
    const { targetTable, clock } = this.#options;
    const target = targetTable.get(targetId);
    if (target === undefined || target.noResponseSinceMs !== undefined) {
      return false;
    }
    const nowMs = clock.nowMs();
    const activeSinceMs = Math.max(nowMs - RECENT_ACTIVITY_MS, stalledSinceMs);
    if (target.activeMs > activeSinceMs) return false;
    if (!target.isSuspect) this.#askedSuspects.delete(targetId);
    const intervalMs = this.#isNewSuspect(targetId)
      ? SUSPECT_QUERY_INTERVAL_MS
      : QUERY_INTERVAL_MS;
    return target.reportedMs <= nowMs - intervalMs;
  }

  #isNewSuspect(targetId: string): boolean {
    return !this.#askedSuspects.has(targetId) &&
      this.#options.targetTable.get(targetId)?.isSuspect === true;
  }

  /** Whether the first target named the one that the request waits for. */
  #isExplained(
    { targetId }: PathStage,
    { requestId, stalledSinceMs }: {
      readonly requestId: string | undefined;
      readonly stalledSinceMs: number;
    },
  ): boolean {
    const first = this.#options.targetTable.get(targetId);
    if (first?.report === undefined || first.reportedMs <= stalledSinceMs) {
      return false;
    }
    return first.report.stalled.some((one) => one.requestId === requestId);
  }

  /** Targets that were never heard from take turns. */
  #longestUnheardFirst(stages: readonly PathStage[]): PathStage[] {
    const { targetTable } = this.#options;
    const start = this.#checkCount++ % Math.max(1, stages.length);
    const heardMs = ({ targetId }: PathStage): number => {
      const target = targetTable.get(targetId);
      return Math.max(target?.reportedMs ?? 0, target?.activeMs ?? 0);
    };
    return [...stages.slice(start), ...stages.slice(0, start)]
      .map((stage) => ({ stage, atMs: heardMs(stage) }))
      .sort((a, b) => a.atMs === b.atMs ? 0 : a.atMs - b.atMs)
      .map(({ stage }) => stage);
  }

  #checkStage(stage: PathStage, budget: QueryBudget): Promise<void> {
    const { targetId } = stage;
    let pending = this.#pending.get(targetId);
    if (pending === undefined) {
      if (this.#isNewSuspect(targetId)) {
        // Rare, and the target may be lost to all hosts.
        this.#askedSuspects.add(targetId);
        budget.record();
      } else if (!budget.tryAcquire()) return Promise.resolve();
      pending = this.#probe(stage, budget).finally(() =>
        this.#pending.delete(targetId)
      );
      this.#pending.set(targetId, pending);
    }
    return pending;
  }

  async #probe(stage: PathStage, budget: QueryBudget): Promise<void> {
    const { clock, targetTable, reachability } = this.#options;
    const timeoutMs = this.#probeTimeoutMs;
    const startedMs = clock.nowMs();
    if (await this.#hasReportWithin(stage, { timeoutMs, budget })) return;
    // Due timers run before a report is read that arrived while this process was held up.
    await this.#readArrived();
    const reportedMs = this.#reportedMs.get(stage.targetId) ?? -Infinity;
    if (reportedMs >= startedMs) return;
    const elapsedMs = clock.nowMs() - startedMs;
    if (elapsedMs > timeoutMs + MAX_TIMER_DELAY_MS) return;
    if (this.#hasOtherReportSince(stage.targetId, startedMs)) {
      await this.#reportSilent(stage, elapsedMs);
      return;
    }
    // No other target has reported since; this host itself may be cut off.
    const probed = targetTable.get(stage.targetId);
    if (probed !== undefined) {
      void reachability.confirmCutOff(probed.record.service);
    }
    const reference = this.#referenceFor(stage.targetId);
    for (const one of [stage, reference]) if (one) budget.record();
    const [isAnswered] = await Promise.all([
      this.#hasReportWithin(stage, { timeoutMs, budget }),
      reference && this.#hasReportWithin(reference, { timeoutMs, budget }),
    ]);
    if (isAnswered) return;
    const isConfirmed = reference === undefined ||
      this.#hasOtherReportSince(stage.targetId, startedMs);
    if (isConfirmed) {
      await this.#reportSilent(stage, clock.nowMs() - startedMs);
    } else this.#reportedMs.delete(reference.targetId);
  }

  async #reportSilent(
    { targetId }: ProbedStage,
    askedForMs: number,
  ): Promise<void> {
    await this.#options.reachability.reportSilent(targetId, {
      askedForMs: Math.round(askedForMs),
    });
  }

  /**
   * Sends a hedged request, the second on a connection of its own. A report
   * received after the timeout still updates the table.
   */
  async #hasReportWithin(
    { targetId, address }: ProbedStage,
    { timeoutMs, budget }: {
      readonly timeoutMs: number;
      readonly budget: QueryBudget;
    },
  ): Promise<boolean> {
    const { clock } = this.#options;
    const hedgeDelayMs = this.#hedgeDelayMs(timeoutMs);
    const send = () => this.#requestReport({ id: targetId, address });
    const first = send();
    const hedgeDelay = clock.sleep(hedgeDelayMs).then(() => undefined);
    if (await Promise.race([first, hedgeDelay]) === true) return true;
    budget.record();
    const second = send();
    const timeout = clock.sleep(timeoutMs - hedgeDelayMs).then(() => false);
    return await Promise.race([
      first.then((isAnswered) => isAnswered || second),
      second.then((isAnswered) => isAnswered || first),
      timeout,
    ]);
  }

  async #requestReport(
    target: { readonly id: string; readonly address: string },
  ): Promise<boolean> {
    const { control, targetTable, clock } = this.#options;
    const startedMs = clock.nowMs();
    const report = await control.report(target, REPORT_TIMEOUT_MS, {
      purpose: "late-event",
    });
    // The target cannot be judged.
    if (report === "withheld") return true;
    if (report === undefined) return false;
    const nowMs = clock.nowMs();
    this.#reportedMs.set(target.id, nowMs);
    const elapsedMs = nowMs - startedMs;
    if (elapsedMs >= this.#slowestReportMs || nowMs > this.#slowUntilMs) {
      this.#slowestReportMs = elapsedMs;
      this.#slowUntilMs = nowMs + SLOW_REPORT_RETENTION_MS;
    }
    const known = targetTable.get(target.id);
    if (known !== undefined) applyReport(known, report, targetTable);
    return true;
  }

  /** While reports are slow, a second request would mostly be in vain. */
  #hedgeDelayMs(timeoutMs: number): number {
    if (this.#options.clock.nowMs() > this.#slowUntilMs) return HEDGE_DELAY_MS;
    return Math.max(
      HEDGE_DELAY_MS,
      Math.min(this.#slowestReportMs, timeoutMs / 2),
    );
  }

  get #probeTimeoutMs(): number {
    if (this.#options.clock.nowMs() > this.#slowUntilMs) {
      return PROBE_TIMEOUT_MS;
    }
    return Math.min(
      MAX_PROBE_TIMEOUT_MS,
      Math.max(PROBE_TIMEOUT_MS, this.#slowestReportMs * PROBE_TIMEOUT_FACTOR),
    );
  }

  #hasOtherReportSince(id: string, sinceMs: number): boolean {
    for (const [other, reportedMs] of this.#reportedMs) {
      if (other !== id && reportedMs >= sinceMs) return true;
    }
    return false;
  }

  /** The target with the most recent report, preferably in another failure domain. */
  #referenceFor(id: string): ProbedStage | undefined {
    const { targetTable } = this.#options;
    const probed = targetTable.get(id);
    if (probed === undefined) return undefined;
    const others = targetTable.ofService(probed.record.service).filter((
      target,
    ) => target !== probed && target.noResponseSinceMs === undefined);
    const rankOf = (target: Target): number => {
      const reportedMs = this.#reportedMs.get(target.id);
      if (reportedMs === undefined) return -1;
      const isOtherDomain = target.record.domain !== probed.record.domain;
      return reportedMs + (isOtherDomain ? OTHER_DOMAIN_PREFERENCE_MS : 0);
    };
    // Targets that have never reported take turns.
    const start = this.#referenceProbes++ % Math.max(1, others.length);
    const rotated = [...others.slice(start), ...others.slice(0, start)];
    const best = rotated.reduce<Target | undefined>(
      (best, target) =>
        best === undefined || rankOf(target) > rankOf(best) ? target : best,
      undefined,
    );
    return best && { targetId: best.id, address: best.record.address };
  }
}

type ProbedStage = Pick<PathStage, "targetId" | "address">;

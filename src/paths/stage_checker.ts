/**
 * Checks that the targets of a path respond, by requesting their reports.
 * Concurrent checks of the same target share one probe.
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
/** A report at most this old is reused instead of sending another probe. */
const REUSE_MS = 100;
/**
 * A target in another failure domain is the preferred reference unless its last
 * report is older by this.
 */
const OTHER_DOMAIN_PREFERENCE_MS = 5_000;
/** A timer that fires this late shows that this process was blocked. */
const MAX_TIMER_DELAY_MS = 25;

export interface StageCheckerOptions {
  readonly targetTable: TargetTable;
  readonly control: ITargetControl;
  readonly clock: Clock;
  readonly reachability: Pick<
    TargetReachability,
    "reportSilent" | "confirmCutOff"
  >;
}

/** Probes targets and updates the target table with the results. */
export class StageChecker {
  readonly #options: StageCheckerOptions;
  readonly #pending = new Map<string, Promise<void>>();
  readonly #reportedMs = new Map<string, number>();
  #referenceProbes = 0;
  #slowestReportMs = 0;
  #slowUntilMs = -Infinity;

  constructor(options: StageCheckerOptions) {
    this.#options = options;
    options.targetTable.onChange(({ id, isRemoved }) => {
      if (isRemoved) this.#reportedMs.delete(id);
    });
  }

  /**
   * Resolves when the target of each stage has reported, is marked as
   * unresponsive, or could not be judged. A target over which another stream
   * has made progress after `stalledSinceMs`, and a moment ago, is not asked.
   */
  async check(
    stages: readonly PathStage[],
    stalledSinceMs = Infinity,
  ): Promise<void> {
    await Promise.all(
      stages.map((stage) => this.#checkStage(stage, stalledSinceMs)),
    );
  }

  #checkStage(stage: PathStage, stalledSinceMs: number): Promise<void> {
    const { targetTable, clock } = this.#options;
    const target = targetTable.get(stage.targetId);
    if (target === undefined || target.noResponseSinceMs !== undefined) {
      return Promise.resolve();
    }
    const recentMs = clock.nowMs() - REUSE_MS;
    const isActive = target.activeMs > Math.max(recentMs, stalledSinceMs);
    if (isActive || target.reportedMs > recentMs) return Promise.resolve();
    let pending = this.#pending.get(stage.targetId);
    if (pending === undefined) {
      pending = this.#probe(stage).finally(() =>
        this.#pending.delete(stage.targetId)
      );
      this.#pending.set(stage.targetId, pending);
    }
    return pending;
  }

  async #probe(stage: PathStage): Promise<void> {
    const { clock, targetTable, reachability } = this.#options;
    const timeoutMs = this.#probeTimeoutMs;
    const startedMs = clock.nowMs();
    if (await this.#hasReportWithin(stage, timeoutMs)) return;
    // The report may have arrived while this process was blocked.
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
    const [isAnswered] = await Promise.all([
      this.#hasReportWithin(stage, timeoutMs),
      reference && this.#hasReportWithin(reference, timeoutMs),
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
    timeoutMs: number,
  ): Promise<boolean> {
    const { clock } = this.#options;
    const send = () => this.#requestReport({ id: targetId, address });
    const first = send();
    const hedgeDelay = clock.sleep(HEDGE_DELAY_MS).then(() => undefined);
    if (await Promise.race([first, hedgeDelay]) === true) return true;
    const second = send();
    const timeout = clock.sleep(timeoutMs - HEDGE_DELAY_MS).then(() => false);
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

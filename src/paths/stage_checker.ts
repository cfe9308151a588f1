/**
 * Asks the stages of a path whether they are well. Many streams share a stage,
 * so that one question serves all that ask about the same time.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { ITargetControl } from "../ports/services.ts";
import type { PathStage } from "../ports/types.ts";
import { applyReport } from "./apply_report.ts";
import type { Target } from "./target.ts";
import type { TargetTable } from "./target_table.ts";

/** A sound target reports within some milliseconds. */
const PROBE_TIMEOUT_MS = 70;
/** The same at most, where answers came late: this host's own link may be full. */
const MAX_PROBE_TIMEOUT_MS = 300;
/** A question runs on for this long after its target counts as silent. */
const REPORT_TIMEOUT_MS = 400;
/** Answers may take this many times as long as the slowest of late. */
const PROBE_TIMEOUT_FACTOR = 2.5;
/** For how long a slow answer counts. */
const SLOW_REPORT_RETENTION_MS = 2_000;
/** Without an answer by now another connection is tried: one may be broken or lose packets. */
const HEDGE_DELAY_MS = 25;
/** An answer this recent serves another asker. */
const REUSE_MS = 100;
/** A witness in another failure domain goes before one that answered this much later. */
const OTHER_DOMAIN_PREFERENCE_MS = 5_000;
/** A timer that fires this late shows that this host itself was held up. */
const MAX_TIMER_DELAY_MS = 25;

/** Options of a checker. */
export interface StageCheckerOptions {
  readonly targetTable: TargetTable;
  readonly control: ITargetControl;
  readonly clock: Clock;
}

/** Checks stages and keeps the book. */
export class StageChecker {
  readonly #options: StageCheckerOptions;
  readonly #pending = new Map<string, Promise<void>>();
  readonly #reportedMs = new Map<string, number>();
  #referenceProbes = 0;
  #slowestReportMs = 0;
  #slowUntilMs = -Infinity;

  constructor(options: StageCheckerOptions) {
    this.#options = options;
    options.targetTable.onChange(({ id, isRemoved: isGone }) => {
      if (isGone) this.#reportedMs.delete(id);
    });
  }

  /** Resolves when each stage has answered or is marked as silent. */
  async check(stages: readonly PathStage[]): Promise<void> {
    await Promise.all(stages.map((stage) => this.#checkStage(stage)));
  }

  #checkStage(stage: PathStage): Promise<void> {
    const { targetTable: book, clock } = this.#options;
    const target = book.get(stage.targetId);
    if (target === undefined || target.noResponseSinceMs !== undefined) {
      return Promise.resolve();
    }
    if (clock.nowMs() - target.reportedMs < REUSE_MS) return Promise.resolve();
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
    const { clock } = this.#options;
    const withinMs = this.#probeTimeoutMs;
    const startedMs = clock.nowMs();
    if (await this.#hasReportWithin(stage, withinMs)) return;
    // The answer may have come while this process did not run.
    const tookMs = clock.nowMs() - startedMs;
    if (tookMs > withinMs + MAX_TIMER_DELAY_MS) return;
    if (this.#hasOtherReportSince(stage.targetId, startedMs)) {
      this.#markUnresponsive(stage, tookMs);
      return;
    }
    // Nobody else answered meanwhile; perhaps nothing reaches this host.
    const witness = this.#referenceFor(stage.targetId);
    const [isSound] = await Promise.all([
      this.#hasReportWithin(stage, withinMs),
      witness && this.#hasReportWithin(witness, withinMs),
    ]);
    if (isSound) return;
    const isCredible = witness === undefined ||
      this.#hasOtherReportSince(stage.targetId, startedMs);
    if (isCredible) {
      this.#markUnresponsive(stage, clock.nowMs() - startedMs);
    } else this.#reportedMs.delete(witness.targetId);
  }

  #markUnresponsive({ targetId }: ProbedStage, askedForMs: number): void {
    this.#options.targetTable.markUnresponsive(targetId, {
      askedForMs: Math.round(askedForMs),
    });
  }

  /** Two questions, the second on a connection of its own; later answers still count. */
  async #hasReportWithin(
    { targetId, address }: ProbedStage,
    withinMs: number,
  ): Promise<boolean> {
    const { clock } = this.#options;
    const ask = () => this.#requestReport({ id: targetId, address });
    const first = ask();
    const early = clock.sleep(HEDGE_DELAY_MS).then(() => undefined);
    if (await Promise.race([first, early]) === true) return true;
    const second = ask();
    const late = clock.sleep(withinMs - HEDGE_DELAY_MS).then(() => false);
    return await Promise.race([
      first.then((isAnswered) => isAnswered || second),
      second.then((isAnswered) => isAnswered || first),
      late,
    ]);
  }

  async #requestReport(
    target: { readonly id: string; readonly address: string },
  ): Promise<boolean> {
    const { control, targetTable: book, clock } = this.#options;
    const startedMs = clock.nowMs();
    const report = await control.report(target, REPORT_TIMEOUT_MS);
    if (report === undefined) return false;
    const nowMs = clock.nowMs();
    this.#reportedMs.set(target.id, nowMs);
    const tookMs = nowMs - startedMs;
    if (tookMs >= this.#slowestReportMs || nowMs > this.#slowUntilMs) {
      this.#slowestReportMs = tookMs;
      this.#slowUntilMs = nowMs + SLOW_REPORT_RETENTION_MS;
    }
    const known = book.get(target.id);
    if (known !== undefined) applyReport(known, report, book);
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
    for (const [other, heardMs] of this.#reportedMs) {
      if (other !== id && heardMs >= sinceMs) return true;
    }
    return false;
  }

  /** The target that answered last, if one did in another failure domain. */
  #referenceFor(id: string): ProbedStage | undefined {
    const { targetTable: book } = this.#options;
    const asked = book.get(id);
    if (asked === undefined) return undefined;
    const others = book.ofService(asked.record.service).filter((target) =>
      target !== asked && target.noResponseSinceMs === undefined
    );
    const rankOf = (target: Target): number => {
      const heardMs = this.#reportedMs.get(target.id);
      if (heardMs === undefined) return -1;
      const isElsewhere = target.record.domain !== asked.record.domain;
      return heardMs + (isElsewhere ? OTHER_DOMAIN_PREFERENCE_MS : 0);
    };
    // Among those never heard, each is tried in turn.
    const start = this.#referenceProbes++ % Math.max(1, others.length);
    const turned = [...others.slice(start), ...others.slice(0, start)];
    const best = turned.reduce<Target | undefined>(
      (best, target) =>
        best === undefined || rankOf(target) > rankOf(best) ? target : best,
      undefined,
    );
    return best && { targetId: best.id, address: best.record.address };
  }
}

type ProbedStage = Pick<PathStage, "targetId" | "address">;

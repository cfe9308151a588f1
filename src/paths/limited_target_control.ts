/**
 * Counts queries and orders to targets against the limits that the targets name,
 * and withholds queries that would exceed them. What is sent is also counted by
 * purpose.
 *
 * @module
 */

import type { IMetrics } from "../common/bucket_metrics.ts";
import type { Clock } from "../common/clock.ts";
import type { Event } from "../common/emitter.ts";
import type {
  ITargetControl,
  OrderTarget,
  QueryOptions,
  TargetNotice,
} from "../ports/services.ts";
import type {
  OrderOutcome,
  PathStage,
  ReportOutcome,
  Span,
} from "../ports/types.ts";
import type { TargetLimits } from "./target_limits.ts";
import type { TargetTable } from "./target_table.ts";
import { countControlCall } from "./control_calls.ts";

/** The outcome of an order that is withheld while its target wants none. */
const PAUSED: OrderOutcome = {
  kind: "refused",
  status: 503,
};

export interface LimitedTargetControlOptions {
  readonly control: ITargetControl;
  readonly limits: TargetLimits;
  readonly targets: Pick<TargetTable, "markLeaving">;
  readonly clock: Clock;
  readonly metrics?: Pick<IMetrics, "count">;
}

export class LimitedTargetControl implements ITargetControl {
  readonly #options: LimitedTargetControlOptions;

  constructor(options: LimitedTargetControlOptions) {
    this.#options = options;
    const { control, limits, targets } = options;
    control.onNotice(({ targetId, isLeaving, pauseMs }) => {
      if (isLeaving) targets.markLeaving(targetId);
      if (pauseMs !== undefined) limits.pause(targetId, pauseMs);
    });
  }

  get onNotice(): Event<TargetNotice> {
    return this.#options.control.onNotice;
  }

  async report(
    target: OrderTarget,
    timeoutMs: number,
    { purpose }: QueryOptions = { purpose: "unspecified" },
  ): Promise<ReportOutcome> {
    const { control, limits, clock, metrics } = this.#options;
    if (!limits.tryAcquire(target.id)) return "withheld";
    countControlCall(metrics, { call: "report", purpose });
    const sentMs = clock.nowMs();
    const report = await control.report(target, timeoutMs);
    // A target that rejects the query has responded.
    if (report === undefined && limits.pausedForMs(target.id) > 0) {
      return "withheld";
    }
    if (report !== undefined && report !== "withheld") {
      const limitPerS = report.requestLimitPerS;
      // Not every report may name the limit that responses to requests name.
      limits.observe(target.id, { limitPerS, sentMs, mayWithdraw: false });
    }
    return report;
  }

  probe(
    target: OrderTarget,
    timeoutMs: number,
    { purpose }: QueryOptions = { purpose: "unspecified" },
  ): Promise<boolean> {
    const { control, limits, metrics } = this.#options;
    limits.recordSend(target.id);
    countControlCall(metrics, { call: "probe", purpose });
    return control.probe(target, timeoutMs);
  }

  place(
    target: OrderTarget,
    span: Span,
    expectedSeq: number,
  ): Promise<OrderOutcome> {
    const { limits, control, metrics } = this.#options;
    if (limits.pausedForMs(target.id) > 0) return Promise.resolve(PAUSED);
    limits.recordSend(target.id);
    countControlCall(metrics, { call: "order", purpose: "placement" });
    return control.place(target, span, expectedSeq);
  }

  repath(
    first: OrderTarget,
    requestId: string,
    path: readonly PathStage[],
  ): Promise<OrderOutcome> {
    const { limits, control, metrics } = this.#options;
    if (limits.pausedForMs(first.id) > 0) return Promise.resolve(PAUSED);
    limits.recordSend(first.id);
    countControlCall(metrics, { call: "order", purpose: "repath" });
    return control.repath(first, requestId, path);
  }
}

/**
 * Keeps the model placed: one host at a time, the oldest that runs, asks the
 * targets for their state and orders what the plan wants. Two hosts that both
 * act cost orders only, since an order names the number of orders that the
 * target must have begun, and a plan moves nothing that serves.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { ILog } from "../common/logging.ts";
import type { IMetrics } from "../common/bucket_metrics.ts";
import type { Target } from "../paths/target.ts";
import type { TargetTable } from "../paths/target_table.ts";
import type { ITargetControl } from "../ports/services.ts";
import { applyReport } from "../paths/apply_report.ts";
import type { EngineProfile, RoutingConfig, Span } from "../ports/types.ts";
import { planPlacement } from "./placement_plan.ts";
import type { PlannedOrder, PlanTarget } from "./types.ts";

/** Pause between rounds while targets hold nothing or do not answer. */
const ACTIVE_ROUND_INTERVAL_MS = 400;
/** Pause between rounds in which all is placed; a report costs the target little. */
const IDLE_ROUND_INTERVAL_MS = 1_500;
/** A report is due within this time; the targets answer in a few milliseconds. */
const REPORT_TIMEOUT_MS = 400;
/** A host that misses more of the reports doubts itself. */
const MAX_MISSING_SHARE = 0.6;
/** An order without an answer may still act for this long. */
const UNKNOWN_ORDER_TIMEOUT_MS = 12_500;
/** No first plan before the list of targets has stood still this long. */
const SETTLE_MS = 700;
/** A target that has not answered for this long takes no part in the plan. */
const TARGET_LOST_AFTER_MS = 1_500;

/** A report shows an order that has begun within this time; reports lag some hundred ms. */
const ORDER_REPORTED_WITHIN_MS = 2_000;

/** An order that has begun and whose span is not yet all held. */
interface PendingOrder {
  readonly span: Span;
  readonly expectedSeq: number;
  readonly startedMs: number;
}

/** Options of a keeper. */
export interface PlacementControllerOptions {
  readonly targetTable: TargetTable;
  readonly control: ITargetControl;
  readonly clock: Clock;
  readonly log: ILog;
  readonly metrics: IMetrics;
  readonly config: () => RoutingConfig | undefined;
  /** Whether this host should act now. */
  readonly isLeader: () => boolean;
}

/** Reports, plans and orders. */
export class PlacementController {
  readonly #options: PlacementControllerOptions;
  /** Targets with an order whose outcome is unknown, until when it may act. */
  readonly #unknownUntilMs = new Map<string, number>();
  readonly #pendingOrders = new Map<string, PendingOrder>();
  #targetsChangedMs = -Infinity;
  #wasLeader = false;

  constructor(options: PlacementControllerOptions) {
    this.#options = options;
    options.targetTable.onChange(() =>
      this.#targetsChangedMs = options.clock.nowMs()
    );
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, log, isLeader } = this.#options;
    while (!signal.aborted) {
      const leads = isLeader();
      if (leads !== this.#wasLeader) {
        log.info(leads ? "placement taken over" : "placement given up", {});
        this.#wasLeader = leads;
      }
      const isQuiet = leads ? await this.#runRound() : false;
      await clock.sleep(
        isQuiet ? IDLE_ROUND_INTERVAL_MS : ACTIVE_ROUND_INTERVAL_MS,
        signal,
      );
    }
  }

  /** Targets that are slow now, by their own reports. */
  slowTargets(): (readonly [string, number])[] {
    return this.#options.targetTable.all().filter(({ slowness }) =>
      slowness > 1
    )
      .map(({ id, slowness }) => [id, slowness] as const);
  }

  async #runRound(): Promise<boolean> {
    const config = this.#options.config();
    if (config === undefined) return false;
    const pending: Promise<boolean>[] = [];
    for (const service of config.services.values()) {
      if (service.engine === undefined) continue;
      pending.push(this.#runServiceRound(service.name, service.engine));
    }
    return (await Promise.all(pending)).every((isQuiet) => isQuiet);
  }

  async #runServiceRound(
    service: string,
    figures: EngineProfile,
  ): Promise<boolean> {
    const { targetTable: book, clock } = this.#options;
    const targets = book.ofService(service);
    if (
      targets.length === 0 || clock.nowMs() - this.#targetsChangedMs < SETTLE_MS
    ) {
      if (targets.every(({ span }) => span === undefined)) return false;
    }
    await this.#requestReports(targets);
    const orders = planPlacement({
      figures,
      targets: targets.flatMap((target) => this.#toPlanTarget(target, figures)),
    });
    await Promise.all(orders.map((order) => this.#sendOrder(order)));
    return orders.length === 0 &&
      targets.every((target) =>
        target.span !== undefined && target.noResponseSinceMs === undefined
      );
  }

  async #requestReports(targets: readonly Target[]): Promise<void> {
    const { control, targetTable: book } = this.#options;
    const missing: Target[] = [];
    await Promise.all(targets.map(async (target) => {
      const report = await control.report(addressOf(target), REPORT_TIMEOUT_MS);
      if (report === undefined) missing.push(target);
      else applyReport(target, report, book);
    }));
    // Where most are missing it is this host that nothing reaches.
    if (missing.length > targets.length * MAX_MISSING_SHARE) return;
    for (const { id } of missing) {
      book.markUnresponsive(id, { askedForMs: REPORT_TIMEOUT_MS });
    }
  }

  #toPlanTarget(target: Target, figures: EngineProfile): PlanTarget[] {
    const { clock } = this.#options;
    const kind = figures.kinds.get(
      target.record.kind ?? target.report?.kind ?? "",
    );
    if (kind === undefined || !target.isReady) return [];
    const nowMs = clock.nowMs();
    const isLost = target.noResponseSinceMs !== undefined &&
      nowMs - target.noResponseSinceMs >= TARGET_LOST_AFTER_MS;
    if (isLost) return [];
    const begun = this.#pendingOrder(target);
    const isUnknown =
      (this.#unknownUntilMs.get(target.id) ?? -Infinity) > nowMs;
    return [{
      id: target.id,
      domain: target.record.domain,
      memoryMb: kind.memoryMb,
      paceFactor: kind.decodeTimeFactor,
      // What is being loaded need not be planned once more.
      span: begun?.span ?? target.span,
      canAcceptOrder: target.noResponseSinceMs === undefined &&
        target.report !== undefined && begun === undefined &&
        !target.report.isBusy && !isUnknown,
    }];
  }

  #pendingOrder({ id, report }: Target): PendingOrder | undefined {
    const begun = this.#pendingOrders.get(id);
    if (begun === undefined) return undefined;
    const isShown = report !== undefined &&
      report.orderSeq > begun.expectedSeq;
    const ageMs = this.#options.clock.nowMs() - begun.startedMs;
    const isOver = isShown ? !report.isBusy : ageMs > ORDER_REPORTED_WITHIN_MS;
    if (!isOver) return begun;
    this.#pendingOrders.delete(id);
    return undefined;
  }

  async #sendOrder({ targetId, span }: PlannedOrder): Promise<void> {
    const { targetTable: book, control, log, metrics, clock } = this.#options;
    const target = book.get(targetId);
    if (target?.report === undefined) return;
    const expectedSeq = target.report.orderSeq;
    const outcome = await control.place(addressOf(target), span, expectedSeq);
    log.info("placement ordered", {
      target: targetId,
      span: `${span.from}-${span.to}`,
      expectedSeq,
      reportAgeMs: Math.round(clock.nowMs() - target.reportedMs),
      outcome,
    });
    metrics.count("jackdawshift_orders_total", { outcome: outcome.kind });
    if (outcome.kind === "begun") {
      const begunMs = clock.nowMs();
      this.#pendingOrders.set(targetId, {
        span,
        expectedSeq,
        startedMs: begunMs,
      });
    }
    if (outcome.kind === "unknown") {
      this.#unknownUntilMs.set(
        targetId,
        clock.nowMs() + UNKNOWN_ORDER_TIMEOUT_MS,
      );
    }
  }
}

function addressOf(
  target: Target,
): { readonly id: string; readonly address: string } {
  return { id: target.id, address: target.record.address };
}

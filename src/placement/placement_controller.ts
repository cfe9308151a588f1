/**
 * Keeps all layers of the model placed. One host at a time, the oldest that
 * runs, requests reports from the targets and sends the orders of the placement
 * plan. Two hosts that both act only cost extra orders: an order names the
 * number of orders that the target must have begun, and a plan moves no target
 * that serves.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { ILog } from "../common/logging.ts";
import type { IMetrics } from "../common/bucket_metrics.ts";
import type { Target } from "../paths/target.ts";
import type { TargetReachability } from "../paths/target_reachability.ts";
import type { TargetTable } from "../paths/target_table.ts";
import type { ITargetControl } from "../ports/services.ts";
import { applyReport } from "../paths/apply_report.ts";
import type { EngineProfile, RoutingConfig, Span } from "../ports/types.ts";
import { planPlacement } from "./placement_plan.ts";
import type { PlannedOrder, PlanTarget } from "./types.ts";

/** Interval of rounds while targets hold no layers or are unresponsive. */
const ACTIVE_ROUND_INTERVAL_MS = 400;
/**
 * Interval of rounds while all targets are placed, and of the queries to placed
 * targets while others are not.
 */
const IDLE_ROUND_INTERVAL_MS = 1_500;
/** Targets normally report within a few milliseconds. */
const REPORT_TIMEOUT_MS = 400;
/** If more of the reports are missing, this host itself is probably cut off. */
const MAX_MISSING_SHARE = 0.6;
/** An order without a reply may still take effect for this long. */
const UNKNOWN_ORDER_TIMEOUT_MS = 12_500;
/** The first plan waits until the list of targets has been unchanged for this long. */
const SETTLE_MS = 700;
/** A target that has been unresponsive for this long is left out of the plan. */
const TARGET_LOST_AFTER_MS = 1_500;

/**
 * Time within which reports show an order that has begun; they lag by some
 * hundred milliseconds.
 */
const ORDER_REPORTED_WITHIN_MS = 2_000;

/** An order that has begun and whose span is not yet fully held. */
interface PendingOrder {
  readonly span: Span;
  readonly expectedSeq: number;
  readonly startedMs: number;
}

export interface PlacementControllerOptions {
  readonly targetTable: TargetTable;
  readonly control: ITargetControl;
  readonly clock: Clock;
  readonly log: ILog;
  readonly metrics: IMetrics;
  readonly config: () => RoutingConfig | undefined;
  /** Marks a target as unresponsive, unless this host is cut off from all. */
  readonly reportSilent: TargetReachability["reportSilent"];
  /** Whether this host is the one that should act now. */
  readonly isLeader: () => boolean;
}

export class PlacementController {
  readonly #options: PlacementControllerOptions;
  /** For each target with an order of unknown outcome, until when it may take effect. */
  readonly #unknownUntilMs = new Map<string, number>();
  readonly #pendingOrders = new Map<string, PendingOrder>();
  /** When each target was last queried; absent if it has changed since. */
  readonly #queriedMs = new Map<string, number>();
  /** Targets whose last query got no reply. */
  readonly #missingIds = new Set<string>();
  #targetsChangedMs = -Infinity;
  #wasLeader = false;

  constructor(options: PlacementControllerOptions) {
    this.#options = options;
    options.targetTable.onChange(({ id, isRemoved }) => {
      this.#targetsChangedMs = options.clock.nowMs();
      this.#queriedMs.delete(id);
      if (isRemoved) this.#missingIds.delete(id);
    });
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, log, isLeader } = this.#options;
    while (!signal.aborted) {
      const isActive = isLeader();
      if (isActive !== this.#wasLeader) {
        log.info(
          isActive
            ? "placement leadership acquired"
            : "placement leadership released",
          {},
        );
        this.#wasLeader = isActive;
        this.#queriedMs.clear();
        this.#missingIds.clear();
      }
      const isSettled = isActive ? await this.#runRound() : false;
      await clock.sleep(
        isSettled ? IDLE_ROUND_INTERVAL_MS : ACTIVE_ROUND_INTERVAL_MS,
        signal,
      );
    }
  }

  /** Targets whose own reports show them as slow, with their slowness. */
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
    return (await Promise.all(pending)).every((isSettled) => isSettled);
  }

  async #runServiceRound(
    service: string,
    figures: EngineProfile,
  ): Promise<boolean> {
    const { targetTable, clock } = this.#options;
    const targets = targetTable.ofService(service);
    if (
      targets.length === 0 || clock.nowMs() - this.#targetsChangedMs < SETTLE_MS
    ) {
      if (targets.every(({ span }) => span === undefined)) return false;
    }
    const due = targets.filter((target) => this.#isQueryDue(target));
    await this.#requestReports(due, targets);
    const orders = planPlacement({
      figures,
      targets: targets.flatMap((target) => this.#toPlanTarget(target, figures)),
    });
    await Promise.all(orders.map((order) => this.#sendOrder(order)));
    return orders.length === 0 && due.length === targets.length &&
      targets.every((target) =>
        target.span !== undefined && target.noResponseSinceMs === undefined
      );
  }

  /**
   * Whether the target may have changed since its last query, because it is
   * unplaced, unresponsive or has an order in progress, or because that query is
   * long ago. Querying all targets in each active round costs 232 queries per
   * second on a fleet of 93.
   */
  #isQueryDue({ id, span, noResponseSinceMs, report }: Target): boolean {
    const ageMs = this.#options.clock.nowMs() -
      (this.#queriedMs.get(id) ?? -Infinity);
    return ageMs >= IDLE_ROUND_INTERVAL_MS || span === undefined ||
      noResponseSinceMs !== undefined || report === undefined ||
      report.isBusy || this.#pendingOrders.has(id) ||
      this.#isOrderUnknown(id);
  }

  #isOrderUnknown(id: string): boolean {
    return (this.#unknownUntilMs.get(id) ?? -Infinity) >
      this.#options.clock.nowMs();
  }

  async #requestReports(
    due: readonly Target[],
    targets: readonly Target[],
  ): Promise<void> {
    const { clock, control, targetTable, reportSilent } = this.#options;
    const missing: Target[] = [];
    await Promise.all(due.map(async (target) => {
      // Set first, so that a change during the query makes another one due.
      this.#queriedMs.set(target.id, clock.nowMs());
      const report = await control.report(
        addressOf(target),
        REPORT_TIMEOUT_MS,
        { purpose: "placement" },
      );
      if (report === undefined) missing.push(target);
      else if (report !== "withheld") applyReport(target, report, targetTable);
      if (report === undefined) this.#missingIds.add(target.id);
      else this.#missingIds.delete(target.id);
    }));
    // If most reports are missing, this host itself is probably cut off. A round
    // may query few targets, so the last query of each target counts.
    const missingCount =
      targets.filter(({ id }) => this.#missingIds.has(id)).length;
    if (missingCount > targets.length * MAX_MISSING_SHARE) return;
    for (const { id } of missing) {
      await reportSilent(id, { askedForMs: REPORT_TIMEOUT_MS });
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
    const pending = this.#pendingOrder(target);
    return [{
      id: target.id,
      domain: target.record.domain,
      memoryMb: kind.memoryMb,
      paceFactor: kind.decodeTimeFactor,
      // A span that is being loaded counts as held.
      span: pending?.span ?? target.span,
      canAcceptOrder: target.noResponseSinceMs === undefined &&
        target.report !== undefined && pending === undefined &&
        !target.report.isBusy && !this.#isOrderUnknown(target.id),
    }];
  }

  #pendingOrder({ id, report }: Target): PendingOrder | undefined {
    const pending = this.#pendingOrders.get(id);
    if (pending === undefined) return undefined;
    const isReported = report !== undefined &&
      report.orderSeq > pending.expectedSeq;
    const ageMs = this.#options.clock.nowMs() - pending.startedMs;
    const isFinished = isReported
      ? !report.isBusy
      : ageMs > ORDER_REPORTED_WITHIN_MS;
    if (!isFinished) return pending;
    this.#pendingOrders.delete(id);
    return undefined;
  }

  async #sendOrder({ targetId, span }: PlannedOrder): Promise<void> {
    const { targetTable, control, log, metrics, clock } = this.#options;
    const target = targetTable.get(targetId);
    if (target?.report === undefined) return;
    const expectedSeq = target.report.orderSeq;
    const outcome = await control.place(addressOf(target), span, expectedSeq);
    log.info("placement order sent", {
      target: targetId,
      span: `${span.from}-${span.to}`,
      expectedSeq,
      reportAgeMs: Math.round(clock.nowMs() - target.reportedMs),
      outcome,
    });
    metrics.count("jackdawshift_orders_total", { outcome: outcome.kind });
    if (outcome.kind === "begun") {
      const startedMs = clock.nowMs();
      this.#pendingOrders.set(targetId, {
        span,
        expectedSeq,
        startedMs,
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

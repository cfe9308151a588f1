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
import type { IMetrics } from "../common/light_metrics.ts";
import type { Target } from "../paths/target.ts";
import type { TargetBook } from "../paths/target_book.ts";
import type { ITargetControl } from "../ports/services.ts";
import { takeReport } from "../paths/take_report.ts";
import type { EngineProfile, RoutingConfig, Span } from "../ports/types.ts";
import { planPlacement } from "./placement_plan.ts";
import type { PlannedOrder, PlanTarget } from "./types.ts";

/** Pause between rounds while targets hold nothing or do not answer. */
const BUSY_ROUND_MS = 400;
/** Pause between rounds in which all is placed; a report costs the target little. */
const QUIET_ROUND_MS = 1_500;
/** A report is due within this time; the targets answer in a few milliseconds. */
const REPORT_TIMEOUT_MS = 400;
/** A host that misses more of the reports doubts itself. */
const MAX_MISSING_SHARE = 0.6;
/** An order without an answer may still act for this long. */
const UNKNOWN_ORDER_MS = 12_500;
/** No first plan before the list of targets has stood still this long. */
const SETTLE_MS = 700;
/** A target that has not answered for this long takes no part in the plan. */
const LOST_AFTER_MS = 1_500;

/** A report shows an order that has begun within this time; reports lag some hundred ms. */
const SHOWN_AFTER_MS = 2_000;

/** An order that has begun and whose span is not yet all held. */
interface BegunOrder {
  readonly span: Span;
  readonly expectedSeq: number;
  readonly begunMs: number;
}

/** Options of a keeper. */
export interface PlacementKeeperOptions {
  readonly book: TargetBook;
  readonly control: ITargetControl;
  readonly clock: Clock;
  readonly log: ILog;
  readonly metrics: IMetrics;
  readonly config: () => RoutingConfig | undefined;
  /** Whether this host should act now. */
  readonly isLeader: () => boolean;
}

/** Reports, plans and orders. */
export class PlacementKeeper {
  readonly #options: PlacementKeeperOptions;
  /** Targets with an order whose outcome is unknown, until when it may act. */
  readonly #unknownUntilMs = new Map<string, number>();
  readonly #begun = new Map<string, BegunOrder>();
  #changedMs = -Infinity;
  #wasLeader = false;

  constructor(options: PlacementKeeperOptions) {
    this.#options = options;
    options.book.onChange(() => this.#changedMs = options.clock.nowMs());
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, log, isLeader } = this.#options;
    while (!signal.aborted) {
      const leads = isLeader();
      if (leads !== this.#wasLeader) {
        log.info(leads ? "placement taken over" : "placement given up", {});
        this.#wasLeader = leads;
      }
      const isQuiet = leads ? await this.#round() : false;
      await clock.sleep(isQuiet ? QUIET_ROUND_MS : BUSY_ROUND_MS, signal);
    }
  }

  /** Targets that are slow now, by their own reports. */
  slowTargets(): (readonly [string, number])[] {
    return this.#options.book.all().filter(({ slowness }) => slowness > 1)
      .map(({ id, slowness }) => [id, slowness] as const);
  }

  async #round(): Promise<boolean> {
    const config = this.#options.config();
    if (config === undefined) return false;
    const pending: Promise<boolean>[] = [];
    for (const service of config.services.values()) {
      if (service.engine === undefined) continue;
      pending.push(this.#roundOf(service.name, service.engine));
    }
    return (await Promise.all(pending)).every((isQuiet) => isQuiet);
  }

  async #roundOf(service: string, figures: EngineProfile): Promise<boolean> {
    const { book, clock } = this.#options;
    const targets = book.ofService(service);
    if (targets.length === 0 || clock.nowMs() - this.#changedMs < SETTLE_MS) {
      if (targets.every(({ span }) => span === undefined)) return false;
    }
    await this.#askAll(targets);
    const orders = planPlacement({
      figures,
      targets: targets.flatMap((target) => this.#toPlanTarget(target, figures)),
    });
    await Promise.all(orders.map((order) => this.#order(order)));
    return orders.length === 0 &&
      targets.every((target) =>
        target.span !== undefined && target.silentSinceMs === undefined
      );
  }

  async #askAll(targets: readonly Target[]): Promise<void> {
    const { control, book } = this.#options;
    const missing: Target[] = [];
    await Promise.all(targets.map(async (target) => {
      const report = await control.report(addressOf(target), REPORT_TIMEOUT_MS);
      if (report === undefined) missing.push(target);
      else takeReport(target, report, book);
    }));
    // Where most are missing it is this host that nothing reaches.
    if (missing.length > targets.length * MAX_MISSING_SHARE) return;
    for (const { id } of missing) {
      book.markSilent(id, { askedForMs: REPORT_TIMEOUT_MS });
    }
  }

  #toPlanTarget(target: Target, figures: EngineProfile): PlanTarget[] {
    const { clock } = this.#options;
    const kind = figures.kinds.get(
      target.record.kind ?? target.report?.kind ?? "",
    );
    if (kind === undefined || !target.isOpen) return [];
    const nowMs = clock.nowMs();
    const isLost = target.silentSinceMs !== undefined &&
      nowMs - target.silentSinceMs >= LOST_AFTER_MS;
    if (isLost) return [];
    const begun = this.#begunOrder(target);
    const isUnknown =
      (this.#unknownUntilMs.get(target.id) ?? -Infinity) > nowMs;
    return [{
      id: target.id,
      domain: target.record.domain,
      memoryMb: kind.memoryMb,
      paceFactor: kind.decodeTimeFactor,
      // What is being loaded need not be planned once more.
      span: begun?.span ?? target.span,
      canTakeOrder: target.silentSinceMs === undefined &&
        target.report !== undefined && begun === undefined &&
        !target.report.isBusy && !isUnknown,
    }];
  }

  #begunOrder({ id, report }: Target): BegunOrder | undefined {
    const begun = this.#begun.get(id);
    if (begun === undefined) return undefined;
    const isShown = report !== undefined &&
      report.orderSeq > begun.expectedSeq;
    const ageMs = this.#options.clock.nowMs() - begun.begunMs;
    const isOver = isShown ? !report.isBusy : ageMs > SHOWN_AFTER_MS;
    if (!isOver) return begun;
    this.#begun.delete(id);
    return undefined;
  }

  async #order({ targetId, span }: PlannedOrder): Promise<void> {
    const { book, control, log, metrics, clock } = this.#options;
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
      this.#begun.set(targetId, { span, expectedSeq, begunMs });
    }
    if (outcome.kind === "unknown") {
      this.#unknownUntilMs.set(targetId, clock.nowMs() + UNKNOWN_ORDER_MS);
    }
  }
}

function addressOf(
  target: Target,
): { readonly id: string; readonly address: string } {
  return { id: target.id, address: target.record.address };
}

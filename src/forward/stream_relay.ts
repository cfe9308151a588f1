/**
 * Forwards the events of one send and repairs its path. If events are overdue,
 * the stages are checked, the report of the first target is searched for the
 * stage that the request waits for, and a path that avoids the faulty stage takes
 * over.
 *
 * @module
 */

import type { PathStage } from "../ports/types.ts";
import { describePath } from "../paths/describe_path.ts";
import type { ReservedPath } from "../paths/path_chooser.ts";
import type { EngineProfile, OrderOutcome } from "../ports/types.ts";
import type { Target } from "../paths/target.ts";
import type { CallContext } from "./context.ts";
import { EventPace, SUSPECT_OVERDUE_MS } from "./event_pace.ts";
import { findStalledStage, REPORT_TIMEOUT_MS } from "./stalled_stage.ts";
import {
  EventForwarder,
  type EventSink,
  type ForwardResult,
} from "./event_forwarder.ts";
import type { SendOutcome } from "./upstream.ts";
import type { MonitoredStream } from "./stream_monitor.ts";

/** A first target reports a stalled request only after some hundred milliseconds. */
const STALLED_OVERDUE_MS = 350;
/** Delay after the first check of a stream. */
const CHECK_INTERVAL_MS = 100;
/** Each check without a finding doubles the delay, since the stages are just busy. */
const MAX_CHECK_INTERVAL_MS = 400;
/**
 * Orders of one repair. Targets that end together are found one by one: a path
 * that avoids the first may include the next.
 */
const MAX_REPATH_ORDERS = 3;
/** How long a target that a refused repath names gets no other request. */
const AVOID_AFTER_REFUSAL_MS = 600;
/** Delay between attempts to leave a stage that still works. */
const LEAVE_RETRY_INTERVAL_MS = 500;
/** Gap after which a send is abandoned; callers disconnect after two seconds. */
const ABANDON_AFTER_MS = 1_500;
/** A stage this much slower than its kind is avoided if events are late. */
const SLOW_STAGE_FACTOR = 2;

type UpstreamResponse = Extract<SendOutcome, { readonly kind: "answer" }>;

/** Why a stage is replaced. */
type Fault = "silent" | "stalled" | "slow" | "leaving";

/** `unchecked` if the host has sent as many queries as it may for now. */
type Finding =
  | { readonly stage: PathStage; readonly fault: Fault }
  | "unchecked"
  | undefined;

export interface StreamRelayOptions {
  readonly context: CallContext;
  readonly service: string;
  readonly figures: EngineProfile;
  readonly requestId: string;
  readonly tokens: number;
  readonly path: ReservedPath;
  /** Aborts the send. */
  readonly abort: () => void;
  /** Whether the request can be resumed elsewhere now; otherwise the relay keeps waiting. */
  readonly mayAbandon: () => boolean;
  /** Whether the content of the request may no longer be sent to targets. */
  readonly isQuarantined: () => boolean;
  /** Called when a stage after the first does not respond. */
  readonly onStageLost: (stage: PathStage) => void;
  /** Called when the send is of no more use; again with each further check. */
  readonly onOverdue: () => void;
  /** Called with the new path after a repath. */
  readonly onPathChange: (path: ReservedPath) => void;
}

/** Relays the events of one send. */
export class StreamRelay implements MonitoredStream {
  readonly #options: StreamRelayOptions;
  #path: ReservedPath;
  readonly #pace: EventPace;
  #nextCheckMs = 0;
  /** Checks without a finding, and failed repaths, since the last event. */
  #fruitlessChecks = 0;
  #hasTriedUrgent = false;
  #hasAvoidedSlow = false;
  #isRepairing = false;
  #events: EventForwarder | undefined;
  #isDone = false;
  /** Set if the relay itself aborted the send. */
  failure: string | undefined;

  constructor(options: StreamRelayOptions) {
    this.#options = options;
    this.#path = options.path;
    this.#pace = new EventPace({ startMs: options.context.clock.nowMs() });
    options.context.monitor.add(this);
  }

  dispose(): void {
    this.#isDone = true;
    this.#events?.stop();
    this.#options.context.monitor.remove(this);
  }

  /** Forwards events until the stream ends. */
  async run(
    outcome: UpstreamResponse,
    sink: EventSink,
  ): Promise<ForwardResult> {
    this.#events = new EventForwarder({
      outcome,
      sink,
      onProgress: () => this.#recordProgress(),
    });
    const result = await this.#events.run();
    return result.kind === "broken" && this.failure !== undefined
      ? { kind: "broken", reason: this.failure }
      : result;
  }

  #recordProgress(): void {
    const { clock, targets } = this.#options.context;
    const nowMs = clock.nowMs();
    this.#pace.recordEvent(nowMs);
    for (const { targetId } of this.#path.stages) {
      targets.get(targetId)?.recordActivity(nowMs);
    }
    this.#hasTriedUrgent = false;
    this.#fruitlessChecks = 0;
  }

  /** Resumes after backpressure. */
  handleDrain(): void {
    if (this.#events?.isPaused !== true) return;
    this.#pace.resume(this.#options.context.clock.nowMs());
    this.#events.resume();
  }

  checkProgress(nowMs: number): void {
    if (this.#isDone || this.#isRepairing || this.#events?.isPaused) return;
    const gapMs = this.#pace.gapMs(nowMs);
    const found = this.#knownFault(gapMs);
    const { backoff } = this.#options.context.monitor;
    const overdueMs = this.#pace.overdueMs(this.#hasSuspect, backoff.factor);
    if (found === undefined && gapMs < overdueMs) return;
    if (this.#isCutOff) {
      this.#abandon("cut off from all targets");
      return;
    }
    const isUrgent = found !== undefined && found.fault === "silent";
    if (nowMs < this.#nextCheckMs && !(isUrgent && !this.#hasTriedUrgent)) {
      return;
    }
    this.#hasTriedUrgent = isUrgent;
    this.#isRepairing = true;
    this.#repair(gapMs, found).catch((error) => {
      this.#options.context.log.error("path repair failed", {
        request: this.#options.requestId,
        reason: error,
      });
    }).finally(() => {
      this.#isRepairing = false;
      const isLeaving = found !== undefined && !isUrgent;
      const pauseMs = isLeaving
        ? LEAVE_RETRY_INTERVAL_MS
        : this.#checkIntervalMs;
      this.#nextCheckMs = this.#options.context.clock.nowMs() + pauseMs;
    });
  }

  get #isCutOff(): boolean {
    const { context, service } = this.#options;
    return context.reachability.isCutOff(service);
  }

  get #checkIntervalMs(): number {
    return Math.min(
      MAX_CHECK_INTERVAL_MS,
      CHECK_INTERVAL_MS * 2 ** this.#fruitlessChecks,
    );
  }

  get #hasSuspect(): boolean {
    const { targets } = this.#options.context;
    return this.#path.stages.some(({ targetId }) =>
      targets.get(targetId)?.isSuspect === true
    );
  }

  /** Finds a stage after the first that the target table reports as faulty. */
  #knownFault(
    gapMs: number,
  ): { readonly stage: PathStage; readonly fault: Fault } | undefined {
    const { targets } = this.#options.context;
    const { isLate } = this.#pace;
    for (const stage of this.#path.stages.slice(1)) {
      const target = targets.get(stage.targetId);
      if (target === undefined || !target.isResponsive) {
        if (gapMs >= SUSPECT_OVERDUE_MS) return { stage, fault: "silent" };
      } else if (!target.isReady) {
        return { stage, fault: "leaving" };
      } else if (
        isLate && target.slowness >= SLOW_STAGE_FACTOR && !this.#hasAvoidedSlow
      ) {
        return { stage, fault: "slow" };
      }
    }
    return undefined;
  }

  async #repair(
    gapMs: number,
    known: { readonly stage: PathStage; readonly fault: Fault } | undefined,
  ): Promise<void> {
    const { context, requestId } = this.#options;
    const found = known ?? await this.#findFault(gapMs);
    if (this.#isDone) return;
    const isChecked = found !== "unchecked";
    if (known === undefined && isChecked) {
      context.monitor.backoff.recordCheck(found !== undefined);
    }
    if (isChecked && found !== undefined) {
      await this.#repath(found.stage, found.fault, gapMs);
      return;
    }
    if (gapMs >= ABANDON_AFTER_MS) {
      this.#abandon(`no event for ${Math.round(gapMs)} ms`);
      return;
    }
    if (!isChecked) return;
    this.#fruitlessChecks++;
    context.metrics.count("jackdawshift_slow_events_total");
    if (gapMs < STALLED_OVERDUE_MS) return;
    context.log.info("event overdue", {
      request: requestId,
      gapMs: Math.round(gapMs),
    });
  }

  /** Checks all stages, then queries the first for the stage the request waits for. */
  async #findFault(gapMs: number): Promise<Finding> {
    const { context, requestId } = this.#options;
    const { stages } = this.#path;
    const { progressMs } = this.#pace;
    const { budget } = context.monitor;
    if (!budget.hasRoom && !this.#hasSuspect) return "unchecked";
    await context.checker.check(stages, progressMs, {
      requestId,
      isOverdue: () => this.#pace.progressMs === progressMs,
      budget,
    });
    if (this.#isDone) return undefined;
    const newGapMs = this.#pace.gapMs(context.clock.nowMs());
    // An event arrived during the check.
    if (newGapMs < gapMs) return undefined;
    const known = this.#knownFault(newGapMs);
    if (known !== undefined) return known;
    const first = context.targets.get(stages[0].targetId);
    if (gapMs < STALLED_OVERDUE_MS && first?.noResponseSinceMs === undefined) {
      return undefined;
    }
    const stage = await this.#findStalled(gapMs);
    if (stage === "unchecked") return stage;
    return stage && { stage, fault: "stalled" };
  }

  async #findStalled(
    gapMs: number,
  ): Promise<PathStage | "unchecked" | undefined> {
    const [first] = this.#path.stages;
    const { requestId, context } = this.#options;
    const found = await findStalledStage({
      context,
      requestId,
      stages: this.#path.stages,
      progressMs: this.#pace.progressMs,
      isDone: () => this.#isDone,
    });
    if (found !== "silent") return found;
    await context.reachability.reportSilent(first.targetId, {
      askedForMs: REPORT_TIMEOUT_MS,
    });
    this.#abandon(
      `first target unresponsive, no event for ${Math.round(gapMs)} ms`,
    );
    return undefined;
  }

  async #repath(
    faulty: PathStage,
    fault: Fault,
    gapMs: number,
  ): Promise<void> {
    const { context, requestId, service, figures, tokens } = this.#options;
    const { chooser, control, clock, log, metrics } = context;
    const [first] = this.#path.stages;
    if (fault === "silent" || fault === "stalled") {
      this.#options.onStageLost(faulty);
    }
    if (this.#options.isQuarantined()) {
      this.failure = "content quarantined";
      this.#options.abort();
      return;
    }
    // Another path may be no faster, so this is tried only once.
    if (fault === "slow") this.#hasAvoidedSlow = true;
    if (faulty.targetId === first.targetId) {
      this.#abandon("first target unresponsive");
      return;
    }
    const excluded = new Set([faulty.targetId]);
    for (let i = 0; i < MAX_REPATH_ORDERS; i++) {
      const next = chooser.choose({
        service,
        figures,
        tokens,
        excluded,
        current: this.#path.stages,
      });
      if (next === undefined) {
        log.warn("no alternative path", {
          request: requestId,
          faulty: [...excluded].join(),
        });
        if (gapMs >= ABANDON_AFTER_MS) {
          this.#abandon(`no path that avoids ${faulty.targetId}`);
        }
        return;
      }
      const outcome = await control.repath(
        { id: first.targetId, address: first.address },
        requestId,
        next.stages,
      );
      metrics.count("jackdawshift_repaths_total", { outcome: outcome.kind });
      log.info("repath requested", {
        request: requestId,
        faulty: faulty.targetId,
        fault,
        path: describePath(next.stages),
        gapMs: Math.round(this.#pace.gapMs(clock.nowMs())),
        outcome,
      });
      const isMoved = outcome.kind === "begun" || outcome.kind === "already";
      if (isMoved && !this.#isDone) {
        this.#path.release();
        this.#path = next;
        this.#options.onPathChange(next);
        this.#pace.recordRepath(clock.nowMs());
        return;
      }
      next.release();
      if (this.#isDone) return;
      const refusing = this.#refusingTarget(outcome, next.stages);
      if (refusing === undefined) {
        this.#fruitlessChecks++;
        if (outcome.kind === "refused" && outcome.status === 404) {
          this.#abandon("request unknown to its first target");
        }
        return;
      }
      excluded.add(refusing.id);
      refusing.avoidUntilMs = clock.nowMs() + AVOID_AFTER_REFUSAL_MS;
    }
    this.#fruitlessChecks++;
  }

  /** The target of the new path, other than the first, that a refusal names. */
  #refusingTarget(
    outcome: OrderOutcome,
    [, ...stages]: readonly PathStage[],
  ): Target | undefined {
    if (outcome.kind !== "refused") return undefined;
    const stage = stages.find(({ address }) => address === outcome.address);
    return stage && this.#options.context.targets.get(stage.targetId);
  }

  #abandon(reason: string): void {
    if (this.#isDone) return;
    this.#options.onOverdue();
    if (!this.#options.mayAbandon()) return;
    this.failure = reason;
    this.#options.abort();
  }
}

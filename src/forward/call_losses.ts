/**
 * Attributes the failed sends of one call, and the targets that end while they
 * run it, to the content of the call, and tells whether the content may still be
 * sent.
 *
 * @module
 */

import type {
  SendBaseline,
  SendPermit,
} from "../admission/content_quarantine.ts";
import type { LossBaseline } from "../admission/quarantine_ledger.ts";
import { quarantineIds } from "../admission/quarantine_ids.ts";
import { hash32 } from "../common/hash.ts";
import type { PathStage } from "../ports/types.ts";
import { type CallContext, type CallPlan, jitterHoldMs } from "./context.ts";
import type { Exchange } from "./exchange.ts";
import type { EndEvidence, TargetProcess } from "./loss_detector.ts";
import { PartLosses } from "./part_losses.ts";

export interface CallLossesOptions {
  readonly context: Pick<
    CallContext,
    | "log"
    | "metrics"
    | "lossDetector"
    | "quarantine"
    | "random"
    | "targets"
    | "reachability"
  >;
  readonly plan: Pick<
    CallPlan,
    "requestId" | "contentId" | "sharedPromptParts" | "service"
  >;
}

/** A send, or the part of one after its path was changed. */
export interface MarkedSend {
  readonly baseline: SendBaseline;
  /** The processes of its targets when it began. */
  readonly processes: readonly TargetProcess[];
  /** Failures of the call before it began. */
  readonly preceding: readonly CallFailure[];
  /** Whether it counts as broken off. */
  isBroken: boolean;
  /** Whether the target has sent an event. */
  hasEvents: boolean;
}

/** A failure at one target. */
interface CallFailure {
  readonly send: MarkedSend;
  readonly process: TargetProcess;
  readonly lastEventId: number | undefined;
  /** Whether the send had an event before it failed. */
  readonly hadEvents: boolean;
  hasEnded: boolean;
  /** What a send after it knows of the content; undefined until it has ended. */
  after: LossBaseline | undefined;
}

export interface FailureDetails {
  readonly targetId: string;
  /** The last event that the caller has; undefined if none. */
  readonly lastEventId: number | undefined;
}

export interface SendFailure extends FailureDetails {
  /** Whether the caller left, so that the target may be sound. */
  readonly isAbandoned?: boolean;
  /** Whether the target's port is checked; by default, unless abandoned. */
  readonly checksPort?: boolean;
}

export class CallLosses {
  readonly #options: CallLossesOptions;
  readonly #failures: CallFailure[] = [];
  #isComplete = false;
  #permit: SendPermit | undefined;
  readonly #parts: PartLosses;
  readonly #quarantineIds: readonly string[];
  #send: MarkedSend | undefined;

  constructor(options: CallLossesOptions) {
    this.#options = options;
    const { context: { quarantine }, plan } = options;
    this.#parts = new PartLosses({ quarantine, content: plan });
    this.#quarantineIds = quarantineIds(plan);
  }

  /** Time until the request may be sent again; 0 if it may be sent now. */
  get heldForMs(): number {
    return this.#options.context.quarantine.heldForMs(this.#quarantineIds);
  }

  /** Whether targets that ended withhold the content, also from its present run. */
  get isQuarantined(): boolean {
    const { context, plan } = this.#options;
    return context.quarantine.losses.isQuarantined(plan.contentId);
  }

  /** Whether a send of the content failed and none has completed since. */
  get isSuspect(): boolean {
    const { context, plan } = this.#options;
    return context.quarantine.isSuspect(plan.contentId);
  }

  /** Refuses a request that was not run, for this reason unless held back. */
  refuse(
    exchange: Exchange,
    { reason, retryAfterMs }: {
      readonly reason: string;
      readonly retryAfterMs: number;
    },
  ): void {
    const { context } = this.#options;
    const forMs = context.quarantine.retryAfterMs(this.#quarantineIds);
    if (forMs > 0) {
      exchange.refuse(
        503,
        "content quarantined: it ended targets",
        jitterHoldMs(forMs, context.random),
      );
    } else exchange.refuse(503, reason, retryAfterMs);
  }

  /**
   * Asks for permission to send the request, once for all sends of the call;
   * resolves to false without it.
   */
  async acquire(): Promise<boolean> {
    const { quarantine } = this.#options.context;
    this.#permit ??= await quarantine.acquire(this.#quarantineIds);
    return this.#permit !== undefined;
  }

  /** Called when the call has ended. */
  release(): void {
    // A send that broke off may still turn out to have ended its target.
    if (this.#failures.length === 0) this.#permit?.release();
  }

  /** Called when the path of a send was changed. */
  continueSend(targets: readonly Pick<PathStage, "targetId">[]): MarkedSend {
    const hasEvents = this.#send?.hasEvents ?? false;
    const send = this.beginSend(targets);
    send.hasEvents = hasEvents;
    return send;
  }

  /** Called before each send. */
  beginSend(targets: readonly Pick<PathStage, "targetId">[]): MarkedSend {
    this.#parts.beginSend();
    const { context, plan } = this.#options;
    const processes = targets.flatMap(({ targetId }) => {
      const record = context.targets.get(targetId)?.record;
      if (record === undefined) return [];
      return [{ targetId, address: record.address, bornMs: record.bornMs }];
    });
    this.#send = {
      baseline: context.quarantine.baseline(plan.contentId),
      processes,
      preceding: [...this.#failures],
      isBroken: false,
      hasEvents: false,
    };
    return this.#send;
  }

  /** Records a send whose response is long overdue, before it has ended. */
  recordOverdue(send: MarkedSend, details: FailureDetails): void {
    if (send.isBroken) return;
    void this.recordFailure(send, { ...details, checksPort: false });
  }

  /**
   * Records a send that ended without a complete response, and observes its
   * target. Resolves as `observe` does.
   */
  recordFailure(send: MarkedSend, failure: SendFailure): Promise<void> {
    const { lastEventId, isAbandoned = false } = failure;
    if (!isAbandoned && !send.isBroken && !this.isQuarantined) {
      send.isBroken = true;
      void this.#recordBreak(send, lastEventId);
    }
    return this.observe(send, { checksPort: !isAbandoned, ...failure });
  }

  /** The content does not break sends whose host is cut off from all targets. */
  async #recordBreak(
    send: MarkedSend,
    lastEventId: number | undefined,
  ): Promise<void> {
    const { context, plan: { contentId, service } } = this.#options;
    if (await context.reachability.confirmCutOff(service.name)) return;
    context.quarantine.breaks.recordLoss(contentId, {
      baseline: send.baseline.breaks,
      lastEventId,
    });
    if (!send.hasEvents) this.#parts.recordBreak();
  }

  /**
   * Observes a target that may have ended. Resolves when its port was checked
   * and, if it refuses connections, the loss is recorded.
   */
  async observe(
    send: MarkedSend,
    { targetId, lastEventId, checksPort = true }: FailureDetails & {
      readonly checksPort?: boolean;
    },
  ): Promise<void> {
    const { context, plan } = this.#options;
    const process = send.processes.find((one) => one.targetId === targetId);
    if (process === undefined) return;
    const failure: CallFailure = {
      send,
      process,
      lastEventId,
      hadEvents: send.hasEvents,
      hasEnded: false,
      after: undefined,
    };
    this.#failures.push(failure);
    const { firstCheck, evidence } = context.lossDetector.observe(process, {
      checksPort,
    });
    const recorded = evidence.then((found) => {
      if (found !== undefined) this.#recordEnd(failure, found);
    });
    const port = await firstCheck;
    if (port === undefined) return;
    context.metrics.count("jackdawshift_target_checks_total", { port });
    context.log.info("target checked after a failed send", {
      request: plan.requestId,
      content: plan.contentId,
      target: targetId,
      address: process.address,
      port,
    });
    if (port === "refuses") await recorded;
  }

  /** Records a response that says that another process is at the address. */
  recordReplaced(send: MarkedSend, targetId: string): void {
    const process = send.processes.find((one) => one.targetId === targetId);
    if (process !== undefined) {
      this.#options.context.lossDetector.recordReplaced(process);
    }
  }

  /** Records that a target ran the call up to this event. */
  recordProgress(eventId: number): void {
    const { context, plan } = this.#options;
    context.quarantine.recordProgress(plan.contentId, eventId);
    if (this.#send === undefined || this.#send.hasEvents) return;
    this.#send.hasEvents = true;
    this.#parts.recordFirstEvent();
  }

  /** Records a complete response that is no failure of the target. */
  recordCompletion(): void {
    this.#isComplete = true;
    this.recordProgress(Infinity);
  }

  #recordEnd(failure: CallFailure, evidence: EndEvidence): void {
    const { context, plan } = this.#options;
    failure.hasEnded = true;
    if (!failure.hadEvents) this.#parts.recordEnd();
    // A content that ran to its end is not the cause of an end before.
    if (!this.#isComplete && !this.#countEnds()) return;
    context.metrics.count("jackdawshift_targets_lost_total", {
      service: plan.service.name,
    });
    context.log.info("target ended during a request", {
      request: plan.requestId,
      content: plan.contentId,
      target: failure.process.targetId,
      address: failure.process.address,
      evidence,
      lastEventId: failure.lastEventId,
      promptParts: plan.sharedPromptParts.join(),
      ...context.quarantine.losses.baseline(plan.contentId),
    });
  }

  /**
   * Counts all ends of the call anew, in the order of its failures, since
   * evidence may come in another order. Returns whether the count has risen.
   */
  #countEnds(): boolean {
    let hasRisen = false;
    for (const failure of this.#failures) {
      if (!failure.hasEnded) continue;
      const { baseline, preceding } = failure.send;
      if (failure.after === undefined) {
        const process = processKey(failure.process);
        hasRisen = this.#count(failure, baseline.losses, process) || hasRisen;
      }
      for (const { after } of preceding) {
        const counted = failure.after?.totalLosses ?? 0;
        if (after === undefined || after.totalLosses < counted) continue;
        hasRisen = this.#count(failure, after) || hasRisen;
      }
    }
    return hasRisen;
  }

  #count(
    failure: CallFailure,
    baseline: LossBaseline,
    process?: string,
  ): boolean {
    const { context: { quarantine }, plan: { contentId } } = this.#options;
    const { lastEventId } = failure;
    const { after, isNew } = quarantine.losses.recordLoss(contentId, {
      baseline,
      lastEventId,
      process,
    });
    failure.after = after;
    return isNew;
  }
}

/** Short, since entries with it are broadcast. */
function processKey({ targetId, bornMs }: TargetProcess): string {
  return hash32(`${targetId} ${bornMs}`).toString(36);
}

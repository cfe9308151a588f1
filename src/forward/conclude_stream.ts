/**
 * Ends the response of a streaming call after its last send: refuses what was
 * not run, and breaks off what cannot be completed.
 *
 * @module
 */

import type { Refusal } from "../admission/wait_queue.ts";
import type { CallLosses } from "./call_losses.ts";
import { type CallContext, type CallPlan, jitterRetryMs } from "./context.ts";
import { refuseCutOff } from "./cut_off_refusal.ts";
import type { Exchange } from "./exchange.ts";
import { refuseStopping } from "./stopping_refusal.ts";
import type { SendResult } from "./send_result.ts";
import type { StreamResponse } from "./stream_response.ts";

/** Retry time while the rate of starts is unknown; a stream takes some seconds. */
const RETRY_AFTER_MS = 700;

export interface StreamConclusion {
  readonly context: Pick<
    CallContext,
    | "clock"
    | "log"
    | "metrics"
    | "queueOf"
    | "random"
    | "reachability"
    | "stopAdmission"
  >;
  readonly exchange: Exchange;
  readonly plan: CallPlan;
  readonly response: StreamResponse;
  readonly losses: Pick<CallLosses, "heldForMs" | "refuse">;
  /** Result of the last send, or why there was none. */
  readonly result: SendResult;
  /** Why the wait queue refused the request; undefined if it did not. */
  readonly refusal: Refusal | undefined;
  /** Whether any send may have run the request. */
  readonly mayHaveRun: boolean;
  /** Whether the request's time is over. */
  readonly isExpired: boolean;
  /** Logged beside the outcome. */
  readonly facts: Readonly<Record<string, unknown>>;
}

export function concludeStream(conclusion: StreamConclusion): void {
  const { context, exchange, plan, response, result } = conclusion;
  const status = conclude(conclusion);
  context.metrics.count("jackdawshift_answers_total", {
    status: String(status),
  });
  const { firstEventMs, lastEventId } = response;
  if (firstEventMs !== undefined) {
    context.metrics.record("jackdawshift_first_event_ms", firstEventMs);
  }
  context.log.info("request finished", {
    request: plan.requestId,
    content: plan.contentId,
    route: plan.route.name,
    status,
    ...conclusion.facts,
    firstEventMs: firstEventMs && Math.round(firstEventMs),
    lastEventId,
    ageMs: Math.round(exchange.ageMs),
    reason: result.kind === "done" ? undefined : result.reason,
  });
}

/** Returns the status of the response, or how it ended. */
function conclude(conclusion: StreamConclusion): number | string {
  const { exchange, response, result } = conclusion;
  if (exchange.isDisconnected) return "caller left";
  if (result.kind === "done") return "complete";
  if (response.isHeadSent) {
    exchange.abortResponse();
    return "broken off";
  }
  if (conclusion.mayHaveRun) {
    const status = conclusion.isExpired ? 504 : 502;
    exchange.refuse(status, "no complete response from a target");
    return status;
  }
  return refuse(
    conclusion,
    result.kind === "not-run" ? result.retryAfterMs : undefined,
  );
}

/** Refuses a request that was not run; returns the status. */
function refuse(
  conclusion: StreamConclusion,
  targetRetryMs: number | undefined,
): number {
  const { context, exchange, plan, losses } = conclusion;
  if (context.clock.nowMs() >= context.stopAdmission.latestStartMs(plan)) {
    return refuseStopping(context, exchange, plan);
  }
  if (context.reachability.isCutOff(plan.service.name)) {
    return refuseCutOff(context, exchange, {
      ...plan,
      retryAfterMs: targetRetryMs,
    });
  }
  const retryAfterMs = targetRetryMs ?? returnMs(conclusion);
  losses.refuse(exchange, {
    reason: "no path with free capacity",
    retryAfterMs,
  });
  logRefusal(conclusion, retryAfterMs);
  return 503;
}

/** Time after which the caller is asked to return. */
function returnMs(
  { context, exchange, plan, losses }: StreamConclusion,
): number {
  // A held content returns after its hold, so it needs no slot.
  const scheduledMs = losses.heldForMs > 0
    ? undefined
    : context.queueOf(plan.service.name).reserveReturn({
      rank: plan.rank,
      contentId: plan.contentId,
      receivedMs: exchange.receivedMs,
    });
  return scheduledMs ?? jitterRetryMs(RETRY_AFTER_MS, context.random);
}

/** Logs why this request was refused and not another. */
function logRefusal(
  { context, plan, refusal }: StreamConclusion,
  retryAfterMs: number,
): void {
  if (refusal === undefined) return;
  const { reason, rank, canBeInTime, waiting, inFavourOf } = refusal;
  context.metrics.count("jackdawshift_queue_refusals_total", {
    service: plan.service.name,
    reason,
  });
  context.log.info("request refused by the queue", {
    request: plan.requestId,
    content: plan.contentId,
    route: plan.route.name,
    reason,
    rank,
    cost: round(refusal.cost),
    size: round(refusal.relativeSize),
    work: round(refusal.relativeWork),
    canBeInTime,
    waitedMs: Math.round(refusal.waitedMs),
    goalMs: refusal.goalMs,
    estimatedWaitMs: refusal.estimatedWaitMs === undefined
      ? undefined
      : Math.round(refusal.estimatedWaitMs),
    waiting,
    inFavourOf,
    retryAfterMs: Math.round(retryAfterMs),
  });
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

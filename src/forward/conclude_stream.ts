/**
 * Ends the response of a streaming call after its last send: refuses what was
 * not run, and breaks off what cannot be completed.
 *
 * @module
 */

import type { CallLosses } from "./call_losses.ts";
import { type CallContext, type CallPlan, jitterRetryMs } from "./context.ts";
import { refuseCutOff } from "./cut_off_refusal.ts";
import type { Exchange } from "./exchange.ts";
import type { SendResult } from "./send_result.ts";
import type { StreamResponse } from "./stream_response.ts";

/** Retry time for refused callers; a stream takes some seconds. */
const RETRY_AFTER_MS = 700;

export interface StreamConclusion {
  readonly context: Pick<
    CallContext,
    "log" | "metrics" | "random" | "reachability"
  >;
  readonly exchange: Exchange;
  readonly plan: CallPlan;
  readonly response: StreamResponse;
  readonly losses: Pick<CallLosses, "refuse">;
  /** Result of the last send, or why there was none. */
  readonly result: SendResult;
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
  { context, exchange, plan, losses }: StreamConclusion,
  retryAfterMs: number | undefined,
): number {
  if (context.reachability.isCutOff(plan.service.name)) {
    return refuseCutOff(context, exchange, { ...plan, retryAfterMs });
  }
  losses.refuse(exchange, {
    reason: "no path with free capacity",
    retryAfterMs: retryAfterMs ??
      jitterRetryMs(RETRY_AFTER_MS, context.random),
  });
  return 503;
}

/**
 * Sends a call to a target with the headers that targets expect, and learns from
 * its response whether it names a limit, asks for a pause, or leaves.
 *
 * @module
 */

import type { PathStage } from "../ports/types.ts";
import { parseAddress } from "./address.ts";
import { learnFromAnswer } from "./answer_signals.ts";
import type { CallContext, CallPlan } from "./context.ts";
import type { Exchange } from "./exchange.ts";
import { withoutDelegation } from "./delegation.ts";
import { namesOtherRequest } from "./response.ts";
import { type SendOutcome, sendUpstream } from "./upstream.ts";

/** Of a request to a model server; 0 is the most urgent. */
const LEAST_URGENT = 9;

export interface TargetSendOptions {
  readonly context: Pick<
    CallContext,
    | "codec"
    | "agent"
    | "clock"
    | "limits"
    | "metrics"
    | "targets"
    | "outgoingIp"
    | "reachability"
  >;
  readonly exchange: Pick<Exchange, "request" | "body">;
  readonly plan: Pick<
    CallPlan,
    "customer" | "deadlineMs" | "requestId" | "route" | "service"
  >;
  readonly target: Pick<PathStage, "targetId" | "address">;
  /** Undefined if the target serves the call alone. */
  readonly path?: readonly PathStage[];
  /** Defined if a stream resumes at the target. */
  readonly lastEventId?: number;
  readonly mayReuse: boolean;
  readonly signal: AbortSignal;
}

/** Resolves with the head of the response. Never rejects. */
export async function sendToTarget(
  options: TargetSendOptions,
): Promise<SendOutcome> {
  const { context, exchange: { request, body }, plan, target } = options;
  const { codec, agent, clock, reachability } = context;
  const sentMs = clock.nowMs();
  const outcome = await sendUpstream({
    endpoint: parseAddress(target.address),
    method: request.method ?? "GET",
    path: request.url ?? "/",
    headers: codec.forward(withoutDelegation(request.rawHeaders), {
      targetId: target.targetId,
      remainingMs: plan.deadlineMs - sentMs,
      customer: plan.customer?.name,
      path: options.path,
      lastEventId: options.lastEventId,
      // Plain services have no order of admission.
      urgency: options.path && urgencyOf(plan),
    }),
    body,
    mayReuse: options.mayReuse,
    signal: options.signal,
    agent,
    localAddress: context.outgoingIp,
    onNewConnection: () =>
      context.metrics.count("jackdawshift_target_connections_total", {
        service: plan.service.name,
      }),
  });
  if (outcome.kind === "failed") {
    // What follows from the failure depends on whose link is at fault.
    if (!options.signal.aborted) {
      await reachability.confirmCutOff(plan.service.name);
    }
    return outcome;
  }
  if (outcome.isNewConnection) {
    reachability.recordResponse(plan.service.name);
  }
  const { answer } = outcome;
  // Another process than the target responded.
  if (answer.statusCode === 421) return outcome;
  const metadata = codec.answer(answer.rawHeaders);
  // A late copy of another request's response may be out of date.
  if (namesOtherRequest(metadata, plan.requestId)) return outcome;
  learnFromAnswer(context, target.targetId, { answer, metadata, sentMs });
  return outcome;
}

/** The priority in force for a request, in the range that model servers accept. */
function urgencyOf(
  { customer, route }: Pick<CallPlan, "customer" | "route">,
): number {
  const priority = Math.round(customer?.priority ?? route.priority);
  return Math.min(LEAST_URGENT, Math.max(0, priority));
}

/**
 * What an answer says of its target besides the response: that it leaves, that it
 * wants a pause, or how many requests it accepts. The host that sent the request
 * learns it. A host whose request another one served learns it as well: the other
 * host names the target in a header of its own, which no caller gets.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { ResponseMetadata } from "../ports/types.ts";
import type { CallContext, CallPlan } from "./context.ts";

/** Hosts of earlier versions pass this header on to callers, who don't know it. */
export const TARGET_HEADER = "delegated-target";

type LearningContext = Pick<CallContext, "limits" | "targets">;

export interface AnswerHead {
  readonly answer: Pick<IncomingMessage, "headers" | "statusCode">;
  readonly metadata: ResponseMetadata;
  /** When this host sent the request. */
  readonly sentMs: number;
}

/** Learns from the head of an answer of a target. */
export function learnFromAnswer(
  { limits, targets }: LearningContext,
  targetId: string,
  { answer: { statusCode }, metadata, sentMs }: AnswerHead,
): void {
  const { requestLimitPerS, isSigned, retryAfterMs } = metadata;
  if (metadata.isLeaving) targets.markLeaving(targetId);
  if (statusCode === 503 && retryAfterMs !== undefined) {
    limits.pause(targetId, retryAfterMs);
    const at = metadata.failedStageAddress;
    const failed = at === undefined ? undefined : targets.byAddress(at);
    if (failed !== undefined) limits.pause(failed.id, retryAfterMs);
  }
  limits.observe(targetId, {
    limitPerS: requestLimitPerS,
    sentMs,
    mayWithdraw: statusCode === 200 && isSigned,
  });
}

/** Learns from an answer that another host passed on, if it names its target. */
export function learnFromDelegate(
  context: LearningContext,
  head: AnswerHead,
): void {
  const targetId = head.answer.headers[TARGET_HEADER];
  if (typeof targetId === "string") learnFromAnswer(context, targetId, head);
}

/**
 * The header that names the target to the host for which this one serves a
 * request, as name and value; empty if there is nothing to learn.
 */
export function targetHeader(
  { isDelegated }: Pick<CallPlan, "isDelegated">,
  { targetId, metadata }: {
    readonly targetId: string;
    readonly metadata: Pick<ResponseMetadata, "isLeaving" | "requestLimitPerS">;
  },
): string[] {
  const { isLeaving, requestLimitPerS } = metadata;
  const isTelling = isLeaving || requestLimitPerS !== undefined;
  return isDelegated && isTelling ? [TARGET_HEADER, targetId] : [];
}

/**
 * Waits in the queue of a service until a path has capacity for a request.
 *
 * @module
 */

import {
  callerPatienceMs,
  type RequestNeeds,
  requestSize,
  requestWorkMs,
} from "../admission/refusal_cost.ts";
import type { Refusal, Waiter } from "../admission/wait_queue.ts";
import type { PathDemand, ReservedPath } from "../paths/path_chooser.ts";
import type { EngineProfile } from "../ports/types.ts";
import type { CallContext, CallPlan } from "./context.ts";
import type { Exchange } from "./exchange.ts";

/**
 * Longest wait for capacity. Callers abandon a stream that sends no event for
 * two seconds, and the first event takes up to half a second.
 */
const MAX_WAIT_MS = 1_200;

export interface PathWaitOptions {
  readonly context: Pick<
    CallContext,
    "clock" | "chooser" | "queueOf" | "reachability"
  >;
  readonly demand: PathDemand;
  readonly rank: number;
  /** Undefined for a stream that resumes, which is compared by rank only. */
  readonly needs: RequestNeeds | undefined;
  readonly deadlineMs: number;
  /**
   * Time on the host's clock after which a start is too late for a host that
   * stops; by default, none.
   */
  readonly latestStartMs?: () => number;
  /** Aborts when the caller disconnects or the request times out. */
  readonly signal: AbortSignal;
  /** Called if the queue refuses the request. */
  readonly onRefusal?: (refusal: Refusal) => void;
}

/**
 * Resolves with undefined on a refusal by the queue, an abort of `signal`, or if
 * this host is found to be cut off from all targets.
 */
export function waitForPath(
  options: PathWaitOptions,
): Promise<ReservedPath | undefined> {
  const { context, demand, signal } = options;
  const queue = context.queueOf(demand.service);
  if (signal.aborted) return Promise.resolve(undefined);
  const untilMs = Math.min(
    context.clock.nowMs() + MAX_WAIT_MS,
    options.deadlineMs,
  );
  return new Promise((resolve) => {
    const waiter: Waiter = {
      rank: options.rank,
      needs: options.needs,
      get untilMs() {
        return Math.min(untilMs, options.latestStartMs?.() ?? Infinity);
      },
      tryStart: () => {
        const path = context.chooser.choose(demand);
        if (path === undefined) return false;
        finish(path);
        return true;
      },
      refuse: (refusal) => {
        options.onRefusal?.(refusal);
        finish(undefined);
      },
    };
    function finish(path: ReservedPath | undefined): void {
      signal.removeEventListener("abort", onAbort);
      subscription.dispose();
      resolve(path);
    }
    function onAbort(): void {
      queue.remove(waiter);
      finish(undefined);
    }
    signal.addEventListener("abort", onAbort, { once: true });
    const subscription = context.reachability.onChange((change) => {
      if (change.isCutOff && change.service === demand.service) onAbort();
    });
    queue.add(waiter);
  });
}

export interface NeedsOptions {
  readonly plan: Pick<CallPlan, "requestId" | "contentId" | "route">;
  readonly profile: EngineProfile;
  readonly exchange: Pick<Exchange, "metadata" | "receivedMs">;
}

/** What the queue compares a request by; its longest answer counts if stated. */
export function requestNeeds(options: NeedsOptions): RequestNeeds {
  const { plan, profile, exchange: { metadata, receivedMs } } = options;
  const { promptTokens, maxAnswerTokens, likelyAnswerTokens } = metadata;
  const answerTokens = maxAnswerTokens > 0
    ? maxAnswerTokens
    : likelyAnswerTokens ?? profile.typicalAnswerTokens;
  const { route } = plan;
  return {
    requestId: plan.requestId,
    contentId: plan.contentId,
    kind: route.name,
    size: requestSize(promptTokens, answerTokens),
    workMs: requestWorkMs(profile, { promptTokens, answerTokens }),
    receivedMs,
    goalMs: route.firstByteGoalMs,
    patienceMs: callerPatienceMs(route.firstByteGoalMs, route.eventGapGoalMs),
  };
}

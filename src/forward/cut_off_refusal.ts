/**
 * Refuses requests that have not run while this host reaches no target.
 *
 * @module
 */

import { type CallContext, type CallPlan, jitterRetryMs } from "./context.ts";
import { DECLINED_STATUS } from "./delegation.ts";
import type { Exchange } from "./exchange.ts";

const MIN_RETRY_MS = 500;
const MAX_RETRY_MS = 5_000;

/**
 * Refuses a request; returns the status. A request of another host is left to a
 * third one.
 */
export function refuseCutOff(
  { reachability, random }: Pick<CallContext, "reachability" | "random">,
  exchange: Exchange,
  { service, isDelegated, retryAfterMs }:
    & Pick<CallPlan, "service" | "isDelegated">
    & {
      /** Time to retry that another host named. */
      readonly retryAfterMs?: number;
    },
): number {
  if (isDelegated) {
    exchange.refuse(DECLINED_STATUS, "host is cut off from all targets");
    return DECLINED_STATUS;
  }
  if (retryAfterMs !== undefined) {
    exchange.refuse(503, "no target has free capacity", retryAfterMs);
    return 503;
  }
  // A cut that has lasted for some time is expected to last as long again.
  const estimateMs = Math.min(
    MAX_RETRY_MS,
    Math.max(MIN_RETRY_MS, reachability.cutOffForMs(service.name)),
  );
  exchange.refuse(
    503,
    "no host reaches a target",
    jitterRetryMs(estimateMs, random),
  );
  return 503;
}

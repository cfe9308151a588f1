/**
 * Refuses a request that has not run since this host shuts down. Another host
 * serves its retry.
 *
 * @module
 */

import {
  type CallContext,
  type CallPlan,
  STOPPING_REASON,
  stoppingRetryMs,
} from "./context.ts";
import { DECLINED_STATUS } from "./delegation.ts";
import type { Exchange } from "./exchange.ts";

/** Returns the status. */
export function refuseStopping(
  { random }: Pick<CallContext, "random">,
  exchange: Exchange,
  { isDelegated }: Pick<CallPlan, "isDelegated">,
): number {
  const status = isDelegated ? DECLINED_STATUS : 503;
  exchange.refuse(status, STOPPING_REASON, stoppingRetryMs(random));
  return status;
}

/**
 * Handles a target's refusal to run a request: the host avoids the target for a
 * short time, and the request is not sent to it again.
 *
 * @module
 */

import type { CallContext } from "./context.ts";
import type { SendHistory } from "./send_history.ts";
import type { SendResult } from "./send_result.ts";

const AVOID_AFTER_REFUSAL_MS = 600;

export interface TargetRefusal {
  readonly context: Pick<CallContext, "clock" | "targets">;
  readonly history: Pick<SendHistory, "exclude">;
  readonly status: number;
  /** Address of the target that refused; undefined if unknown. */
  readonly address: string | undefined;
}

export function handleTargetRefusal(
  { context: { clock, targets }, history, status, address }: TargetRefusal,
): SendResult {
  const target = address === undefined ? undefined : targets.byAddress(address);
  if (target !== undefined) {
    target.avoidUntilMs = clock.nowMs() + AVOID_AFTER_REFUSAL_MS;
    history.exclude(target.id);
  }
  return {
    kind: "not-run",
    wasSent: true,
    reason: `refused with status ${status} by ${address}`,
  };
}

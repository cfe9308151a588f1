/**
 * Records the targets that ended while they ran one call.
 *
 * @module
 */

import type { CallContext, CallPlan } from "./context.ts";
import type { LostTarget } from "./loss_detector.ts";

export interface CallLossesOptions {
  readonly context: Pick<CallContext, "log" | "metrics" | "lossDetector">;
  readonly plan: Pick<CallPlan, "requestId" | "contentId" | "service">;
}

export class CallLosses {
  readonly #options: CallLossesOptions;

  constructor(options: CallLossesOptions) {
    this.#options = options;
  }

  /** Checks a target that failed the call; resolves when the loss is recorded. */
  async check(
    target: LostTarget,
    lastEventId: number | undefined,
  ): Promise<void> {
    const { context, plan } = this.#options;
    if (!(await context.lossDetector.hasEnded(target))) return;
    context.metrics.count("jackdawshift_targets_lost_total", {
      service: plan.service.name,
    });
    context.log.info("target ended during a request", {
      request: plan.requestId,
      content: plan.contentId,
      target: target.targetId,
      address: target.address,
      lastEventId,
    });
  }
}

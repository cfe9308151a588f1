/**
 * Attributes the targets that end while they run one call to the content of the
 * call, and tells whether the content may still be sent.
 *
 * @module
 */

import type { LossBaseline } from "../admission/quarantine_ledger.ts";
import type { CallContext, CallPlan } from "./context.ts";
import type { Exchange } from "./exchange.ts";
import type { LostTarget } from "./loss_detector.ts";

export interface CallLossesOptions {
  readonly context: Pick<
    CallContext,
    "log" | "metrics" | "lossDetector" | "quarantine"
  >;
  readonly plan: Pick<CallPlan, "requestId" | "contentId" | "service">;
}

export class CallLosses {
  readonly #options: CallLossesOptions;

  constructor(options: CallLossesOptions) {
    this.#options = options;
  }

  /** Time until the content may be sent again; 0 if it is not quarantined. */
  get quarantinedForMs(): number {
    const { context, plan } = this.#options;
    return context.quarantine.quarantinedForMs(plan.contentId);
  }

  /** Refuses a request that was not run, for this reason unless quarantined. */
  refuse(
    exchange: Exchange,
    { reason, retryAfterMs }: {
      readonly reason: string;
      readonly retryAfterMs: number;
    },
  ): void {
    const forMs = this.quarantinedForMs;
    if (forMs > 0) {
      exchange.refuse(503, "content quarantined: it ended targets", forMs);
    } else exchange.refuse(503, reason, retryAfterMs);
  }

  /** Called before each send and repath; a loss of it is added to the result. */
  baseline(): LossBaseline {
    const { context, plan } = this.#options;
    return context.quarantine.baseline(plan.contentId);
  }

  /** Checks a target that failed the call; resolves when the loss is recorded. */
  async check(
    target: LostTarget,
    { baseline, lastEventId }: {
      readonly baseline: LossBaseline;
      readonly lastEventId: number | undefined;
    },
  ): Promise<void> {
    const { context, plan } = this.#options;
    const port = await context.lossDetector.checkPort(target);
    context.metrics.count("jackdawshift_target_checks_total", { port });
    context.log.info("target checked after a failed send", {
      request: plan.requestId,
      content: plan.contentId,
      target: target.targetId,
      address: target.address,
      port,
    });
    if (port !== "refuses") return;
    const loss = { baseline, lastEventId };
    if (!context.quarantine.recordLoss(plan.contentId, loss)) return;
    context.metrics.count("jackdawshift_targets_lost_total", {
      service: plan.service.name,
    });
    context.log.info("target ended during a request", {
      request: plan.requestId,
      content: plan.contentId,
      target: target.targetId,
      address: target.address,
      lastEventId,
      losses: this.baseline().losses,
    });
  }

  /** Records that a target ran the call up to this event. */
  recordProgress(eventId: number): void {
    const { context, plan } = this.#options;
    context.quarantine.recordProgress(plan.contentId, eventId);
  }

  /** Records a complete response, whatever its status. */
  recordCompletion(): void {
    this.recordProgress(Infinity);
  }
}

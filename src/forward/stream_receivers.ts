/**
 * Tells where a stream can go on: on a path of targets, or at another host while
 * this one reaches no target. Silence alone ends no send: a sound target may go
 * on after a second, so a send is given up only for another receiver.
 *
 * @module
 */

import type { EngineProfile, HostRecord } from "../ports/types.ts";
import type { CallContext, CallPlan } from "./context.ts";
import type { SendHistory } from "./send_history.ts";

/** Interval of the checks whether any receiver can be reached again. */
const POLL_INTERVAL_MS = 50;

export interface StreamReceiversOptions {
  readonly context: Pick<
    CallContext,
    "budgetOf" | "chooser" | "clock" | "delegates" | "reachability"
  >;
  readonly plan: Pick<CallPlan, "isDelegated" | "route" | "service">;
  readonly profile: EngineProfile;
  /** Number of tokens that a path must have room for. */
  readonly tokens: number;
  readonly history: Pick<SendHistory, "excluded" | "hasAttempts" | "refused">;
}

export class StreamReceivers {
  readonly #options: StreamReceiversOptions;

  constructor(options: StreamReceiversOptions) {
    this.#options = options;
  }

  /** Whether this host can send to targets itself. */
  get reachesTargets(): boolean {
    const { context, plan } = this.#options;
    return !context.reachability.isCutOff(plan.service.name);
  }

  /**
   * Whether the stream may leave its receiver, a target or a host, since another
   * one can take it now.
   */
  canLeave(receiver: string): boolean {
    const { context, plan, history } = this.#options;
    const { route, service: { name: service } } = plan;
    if (!route.isResumable || !history.hasAttempts) return false;
    if (!context.budgetOf(service).hasRetry()) return false;
    if (!this.reachesTargets) return this.host(receiver) !== undefined;
    return context.chooser.hasFreePath({
      service,
      figures: this.#options.profile,
      tokens: this.#options.tokens,
      excluded: new Set([...history.excluded, receiver]),
    });
  }

  /** A host other than `current` that takes the stream; undefined if none does. */
  host(current?: string): HostRecord | undefined {
    const { context, plan, history } = this.#options;
    // The host that received the request from its caller chooses.
    if (plan.isDelegated) return undefined;
    return context.delegates.choose({
      service: plan.service.name,
      excluded: current === undefined
        ? history.refused
        : new Set([...history.refused, current]),
      avoided: history.excluded,
    });
  }

  /** Resolves with whether a receiver can be reached, at `untilMs` at the latest. */
  async waitForAny(untilMs: number, signal: AbortSignal): Promise<boolean> {
    const { clock } = this.#options.context;
    for (;;) {
      if (signal.aborted) return false;
      if (this.reachesTargets || this.host() !== undefined) return true;
      if (clock.nowMs() >= untilMs) return false;
      await clock.sleep(POLL_INTERVAL_MS, signal);
    }
  }
}

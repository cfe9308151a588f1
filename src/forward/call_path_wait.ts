/**
 * The waits of one streaming call for a path, before its first send and before
 * each further one.
 *
 * @module
 */

import type { Refusal } from "../admission/wait_queue.ts";
import type { ReservedPath } from "../paths/path_chooser.ts";
import type { EngineProfile } from "../ports/types.ts";
import type { CallContext, CallPlan } from "./context.ts";
import type { Exchange } from "./exchange.ts";
import { requestNeeds, waitForPath } from "./path_wait.ts";
import type { SendHistory } from "./send_history.ts";
import { tokensToReserve } from "./token_reservation.ts";

/** Resumed streams rank before all requests that have not started. */
const RESUME_RANK = -1;

export interface CallPathWaitOptions {
  readonly context: Pick<
    CallContext,
    "clock" | "chooser" | "queueOf" | "reachability" | "stopAdmission"
  >;
  readonly exchange: Pick<Exchange, "metadata" | "receivedMs">;
  readonly plan: Pick<
    CallPlan,
    "contentId" | "deadlineMs" | "rank" | "requestId" | "route" | "service"
  >;
  readonly profile: EngineProfile;
  readonly history: Pick<
    SendHistory,
    "allowedTargets" | "excluded" | "sends"
  >;
  /** Aborts when the caller disconnects or the request times out. */
  readonly signal: AbortSignal;
}

export class CallPathWait {
  readonly #options: CallPathWaitOptions;
  /** Number of tokens for which memory is reserved. */
  readonly tokens: number;
  #waitedMs = 0;
  #startedMs = 0;
  #refusal: Refusal | undefined;
  #excludedTargets: Readonly<Record<string, number>> | undefined;

  constructor(options: CallPathWaitOptions) {
    this.#options = options;
    this.tokens = tokensToReserve(options.exchange.metadata, options.profile);
  }

  /** Time waited, summed over all sends. */
  get waitedMs(): number {
    return this.#waitedMs;
  }

  /** Why the wait queue refused the request; undefined if it did not. */
  get refusal(): Refusal | undefined {
    return this.#refusal;
  }

  /** Targets that no path could use, by the reason; undefined if one was found. */
  get excludedTargets(): Readonly<Record<string, number>> | undefined {
    return this.#excludedTargets;
  }

  /** Resolves with undefined if the request is refused or aborted. */
  async next(): Promise<ReservedPath | undefined> {
    const { context, plan, history, signal } = this.#options;
    const { clock, chooser } = context;
    const isResumed = history.sends > 0;
    const demand = {
      service: plan.service.name,
      figures: this.#options.profile,
      tokens: this.tokens,
      promptTokens: isResumed
        ? undefined
        : this.#options.exchange.metadata.promptTokens,
      excluded: history.excluded,
      allowedFirstTargets: history.allowedTargets,
    };
    const sinceMs = clock.nowMs();
    const path = await waitForPath({
      context,
      demand,
      // The caller of a resumed stream is already waiting for its next event.
      rank: isResumed ? RESUME_RANK : plan.rank,
      needs: isResumed ? undefined : requestNeeds(this.#options),
      deadlineMs: plan.deadlineMs,
      latestStartMs: () =>
        isResumed ? Infinity : context.stopAdmission.latestStartMs(plan),
      signal,
      onRefusal: (refusal) => this.#refusal = refusal,
    });
    this.#startedMs = clock.nowMs();
    this.#waitedMs += this.#startedMs - sinceMs;
    if (path === undefined) {
      this.#excludedTargets = chooser.countExclusions(demand);
    }
    return path;
  }

  /** Tells the queue how long a start takes to the first event. */
  recordFirstEvent(): void {
    const { context, plan } = this.#options;
    const tookMs = context.clock.nowMs() - this.#startedMs;
    context.queueOf(plan.service.name).recordFirstEvent(tookMs);
  }
}

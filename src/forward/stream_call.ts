/**
 * Serves a request to a pipeline: waits for a path with free capacity, sends the
 * request to its first target and forwards the events. Replaces a stalled path and,
 * if the route allows it, resumes a broken stream elsewhere after its last event.
 *
 * @module
 */

import { timerDelayMs } from "../common/clock.ts";
import type { IncomingMessage } from "node:http";
import { callerPatienceMs } from "../admission/refusal_cost.ts";
import { describePath } from "../paths/describe_path.ts";
import type { ReservedPath } from "../paths/path_chooser.ts";
import type { EngineProfile, HostRecord, PathStage } from "../ports/types.ts";
import { targetHeader } from "./answer_signals.ts";
import {
  CallLosses,
  type FailureDetails,
  type MarkedSend,
} from "./call_losses.ts";
import { CallPathWait } from "./call_path_wait.ts";
import { CallRetries } from "./call_retries.ts";
import { concludeStream } from "./conclude_stream.ts";
import { type CallContext, type CallPlan, recordRequest } from "./context.ts";
import { delegateStream } from "./delegated_stream.ts";
import type { Exchange } from "./exchange.ts";
import { recordFirstEvent } from "./first_event.ts";
import { checkHead } from "./response.ts";
import { SendHistory } from "./send_history.ts";
import { type SendResult, toSendResult } from "./send_result.ts";
import { StreamReceivers } from "./stream_receivers.ts";
import { StreamRelay } from "./stream_relay.ts";
import { StreamResponse } from "./stream_response.ts";
import { handleTargetRefusal } from "./target_refusal.ts";
import { sendToTarget } from "./target_send.ts";
import type { SendOutcome } from "./upstream.ts";

type UpstreamResponse = Extract<SendOutcome, { readonly kind: "answer" }>;

export class StreamCall {
  readonly #context: CallContext;
  readonly #exchange: Exchange;
  readonly #plan: CallPlan;
  readonly #profile: EngineProfile;
  readonly #history: SendHistory;
  readonly #wait: CallPathWait;
  readonly #receivers: StreamReceivers;
  #path: ReservedPath | undefined;
  readonly #response: StreamResponse;
  readonly #losses: CallLosses;
  readonly #budgetedRetries: CallRetries;
  #repaths = 0;
  #isExpired = false;
  #abort = new AbortController();

  constructor(
    context: CallContext,
    exchange: Exchange,
    plan: CallPlan & { readonly profile: EngineProfile },
  ) {
    this.#context = context;
    this.#exchange = exchange;
    this.#plan = plan;
    this.#history = new SendHistory({ route: plan.route });
    this.#profile = plan.profile;
    this.#response = new StreamResponse({
      exchange,
      ownHeaders: (answer) => this.#targetHeader(answer),
    });
    this.#losses = new CallLosses({ context, plan });
    this.#budgetedRetries = new CallRetries({
      context,
      service: plan.service.name,
    });
    this.#wait = new CallPathWait({
      context,
      exchange,
      plan,
      profile: plan.profile,
      history: this.#history,
      signal: this.#abort.signal,
    });
    this.#receivers = new StreamReceivers({
      context,
      plan,
      profile: plan.profile,
      tokens: this.#wait.tokens,
      history: this.#history,
    });
  }

  async run(): Promise<void> {
    const { clock, stopAdmission } = this.#context;
    const startedMs = clock.nowMs();
    const cancel = (): void => this.#abort.abort();
    this.#exchange.signal.addEventListener("abort", cancel, { once: true });
    const timer = setTimeout(() => {
      this.#isExpired = true;
      this.#abort.abort();
    }, timerDelayMs(this.#plan.deadlineMs - clock.nowMs()));
    recordRequest(this.#context, this.#plan);
    let result: SendResult = {
      kind: "not-run",
      wasSent: false,
      reason: "no path with free capacity",
    };
    try {
      for (;;) {
        const send = await this.#nextSend();
        if (send === undefined || !this.#budgetedRetries.tryBeginSend()) break;
        result = await send();
        this.#release();
        if (result.kind === "done" || !this.#mayRetry(result)) break;
      }
    } finally {
      clearTimeout(timer);
      this.#release();
      this.#losses.release();
      this.#abort.abort();
    }
    this.#finish(result);
    if (result.kind !== "done") return;
    stopAdmission.recordRun(
      this.#plan.route.name,
      clock.nowMs() - startedMs - this.#wait.waitedMs,
    );
  }

  /** Prepares the next send; resolves with undefined if none is possible. */
  async #nextSend(): Promise<(() => Promise<SendResult>) | undefined> {
    const receivers = this.#receivers;
    do {
      if (receivers.reachesTargets) {
        const path = this.#path = await this.#wait.next();
        // The content may have been quarantined while the request waited.
        if (path !== undefined && this.#losses.heldForMs > 0) return undefined;
        if (path !== undefined) {
          return await this.#losses.acquire()
            ? () => this.#send(path)
            : undefined;
        }
        if (receivers.reachesTargets) return undefined;
      }
      const host = receivers.host();
      if (host !== undefined) return () => this.#delegate(host);
    } while (await this.#waitForReceiver());
    return undefined;
  }

  /**
   * Waits while neither this host nor another one reaches targets. A request that
   * has not run is refused instead, as its caller may find a better host.
   */
  async #waitForReceiver(): Promise<boolean> {
    const { route, isDelegated } = this.#plan;
    if (!this.#history.mayHaveRun || isDelegated) return false;
    const untilMs = this.#exchange.receivedMs + this.#response.progressMs +
      callerPatienceMs(route.firstByteGoalMs, route.eventGapGoalMs);
    return await this.#receivers.waitForAny(untilMs, this.#abort.signal);
  }

  #targetHeader({ rawHeaders }: IncomingMessage): readonly string[] {
    const first = this.#path?.stages[0];
    if (first === undefined || !this.#plan.isDelegated) return [];
    return targetHeader(this.#plan, {
      targetId: first.targetId,
      metadata: this.#context.codec.answer(rawHeaders),
    });
  }

  #release(): void {
    if (this.#path === undefined) return;
    this.#path.release();
    this.#path = undefined;
    this.#context.queueOf(this.#plan.service.name).dispatch();
  }

  async #send(path: ReservedPath): Promise<SendResult> {
    const { route, requestId } = this.#plan;
    const [first] = path.stages;
    this.#history.begin(first.targetId);
    this.#logSend(path);
    let marked = this.#losses.beginSend(path.stages);
    const { lastEventId } = this.#response;
    const sendAbort = new AbortController();
    const onAbort = (): void => sendAbort.abort();
    this.#abort.signal.addEventListener("abort", onAbort, { once: true });
    const relay = new StreamRelay({
      context: this.#context,
      service: this.#plan.service.name,
      figures: this.#profile,
      requestId,
      tokens: this.#wait.tokens,
      path,
      abort: () => sendAbort.abort(),
      mayAbandon: () => this.#receivers.canLeave(first.targetId),
      isQuarantined: () => this.#losses.isQuarantined,
      onStageLost: (stage) =>
        void this.#losses.observe(marked, this.#failureAt(stage)),
      onOverdue: () =>
        this.#losses.recordOverdue(marked, this.#failureAt(first)),
      onPathChange: (next) => {
        marked = this.#losses.continueSend(next.stages);
        this.#path = next;
        this.#repaths++;
      },
    });
    try {
      const outcome = await sendToTarget({
        context: this.#context,
        exchange: this.#exchange,
        plan: this.#plan,
        target: first,
        path: path.stages,
        lastEventId: this.#history.sends > 1 ? lastEventId : undefined,
        mayReuse: route.isResumable,
        signal: sendAbort.signal,
      });
      const result = outcome.kind === "failed"
        ? await this.#handleFailedSend(first, outcome, relay)
        : await this.#receive(outcome, relay);
      if (result.kind === "broken") {
        const hasEvents = this.#response.lastEventId !== lastEventId;
        const check = this.#recordFailure(first, marked, hasEvents);
        if (relay.failure === undefined && !this.#abort.signal.aborted) {
          await check;
        }
      }
      return result;
    } finally {
      relay.dispose();
      this.#abort.signal.removeEventListener("abort", onAbort);
    }
  }

  /** Lets another host serve the request, since this one reaches no target. */
  #delegate(host: HostRecord): Promise<SendResult> {
    const { requestId } = this.#plan;
    this.#history.beginAtHost(host.id);
    this.#context.log.info("request delegated", {
      request: requestId,
      to: host.id,
      send: this.#history.sends,
      lastEventId: this.#response.lastEventId,
    });
    return delegateStream({
      context: this.#context,
      exchange: this.#exchange,
      plan: this.#plan,
      host,
      response: this.#response,
      isResumed: this.#history.sends > 1,
      mayAbandon: () => this.#receivers.canLeave(host.id),
      signal: this.#abort.signal,
    });
  }

  async #recordFailure(
    first: PathStage,
    marked: MarkedSend,
    hasEvents: boolean,
  ): Promise<void> {
    // A stream that is still running at its deadline has not failed.
    if (this.#isExpired && hasEvents) return;
    const isAbandoned = this.#exchange.signal.aborted;
    const failure = { ...this.#failureAt(first), isAbandoned };
    await this.#losses.recordFailure(marked, failure);
  }

  #failureAt({ targetId }: PathStage): FailureDetails {
    return { targetId, lastEventId: this.#response.lastEventId };
  }

  #logSend(path: ReservedPath): void {
    this.#context.log.info("request sent", {
      request: this.#plan.requestId,
      content: this.#plan.contentId,
      send: this.#history.sends,
      path: describePath(path.stages),
      firstEventMs: Math.round(path.firstEventMs),
      msPerToken: Math.round(path.msPerToken * 100) / 100,
      tokens: Math.round(this.#wait.tokens),
      lastEventId: this.#response.lastEventId,
      waitedMs: Math.round(this.#wait.waitedMs),
    });
  }

  async #handleFailedSend(
    { targetId }: PathStage,
    { verdict, reason }: Extract<SendOutcome, { readonly kind: "failed" }>,
    relay: StreamRelay,
  ): Promise<SendResult> {
    if (verdict === "may-have-run") {
      return { kind: "broken", reason: relay.failure ?? reason };
    }
    if (!this.#abort.signal.aborted) {
      await this.#context.reachability.reportSilent(targetId, { reason });
    }
    return { kind: "not-run", wasSent: false, reason };
  }

  async #receive(
    outcome: UpstreamResponse,
    relay: StreamRelay,
  ): Promise<SendResult> {
    const { answer } = outcome;
    const { codec } = this.#context;
    const fault = checkHead(outcome, {
      metadata: codec.answer(answer.rawHeaders),
      requestId: this.#plan.requestId,
    });
    if (fault?.kind === "refused") {
      return handleTargetRefusal({
        context: this.#context,
        history: this.#history,
        status: fault.status,
        address: fault.address ?? this.#path?.stages[0].address,
      });
    }
    if (fault !== undefined) return { kind: "broken", reason: fault.reason };
    const status = answer.statusCode ?? 0;
    const response = this.#response;
    if (status !== 200) {
      const failure = await response.forwardWhole(outcome, status);
      this.#recordCompletion({ failure, status });
      return toSendResult(failure);
    }
    const onDrain = (): void => relay.handleDrain();
    this.#exchange.response.on("drain", onDrain);
    const result = await relay.run(outcome, {
      lastEventId: response.lastEventId,
      onEvents: (bytes, lastId) => {
        recordFirstEvent(this.#path, this.#context.metrics);
        if (lastId !== undefined) this.#losses.recordProgress(lastId);
        if (!response.isHeadSent) this.#wait.recordFirstEvent();
        return response.forwardEvents(answer, bytes, lastId);
      },
    });
    this.#exchange.response.off("drain", onDrain);
    const failure = result.kind === "complete" ? response.end() : result.reason;
    this.#recordCompletion({ failure, status });
    return toSendResult(failure);
  }

  #recordCompletion(
    { failure, status }: {
      readonly failure: string | undefined;
      readonly status: number;
    },
  ): void {
    // A faulty target fails requests that it has not run.
    if (failure !== undefined || status >= 500) return;
    if (!this.#exchange.isDisconnected) this.#losses.recordCompletion();
  }

  /** Whether another send is allowed after a failed one. */
  #mayRetry(result: SendResult): boolean {
    const { log, clock } = this.#context;
    const { requestId, deadlineMs } = this.#plan;
    const mayRepeat = this.#history.mayRepeat(result);
    const hasTime = clock.nowMs() < deadlineMs && !this.#abort.signal.aborted;
    const wasSent = result.kind !== "not-run" || result.wasSent;
    const willRetry = mayRepeat && this.#losses.heldForMs === 0 && hasTime &&
      this.#budgetedRetries.recordFailure({ wasSent });
    log.info("send failed", {
      request: requestId,
      outcome: result.kind,
      reason: result.kind === "done" ? undefined : result.reason,
      lastEventId: this.#response.lastEventId,
      isHeadSent: this.#response.isHeadSent,
      goesOn: willRetry,
    });
    return willRetry;
  }

  #finish(result: SendResult): void {
    concludeStream({
      context: this.#context,
      exchange: this.#exchange,
      plan: this.#plan,
      response: this.#response,
      losses: this.#losses,
      result,
      refusal: this.#wait.refusal,
      mayHaveRun: this.#history.mayHaveRun,
      isExpired: this.#isExpired,
      facts: {
        sends: this.#history.sends,
        repaths: this.#repaths,
        waitedMs: Math.round(this.#wait.waitedMs),
        excludedTargets: this.#wait.excludedTargets,
      },
    });
  }
}

/**
 * A request whose model is spread over targets: waits for a path with room,
 * sends it to the first target of the path and passes the events on. A path
 * that stalls is changed under the request; a stream that breaks goes on at
 * another target after its last event, where the route allows it.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { ReservedPath } from "../paths/path_chooser.ts";
import type { EngineProfile } from "../ports/types.ts";
import { parseAddress } from "./address.ts";
import { isUnframed, readResponseBody, responseHeaders } from "./response.ts";
import { type CallContext, type CallPlan, jitterRetryMs } from "./context.ts";
import type { Exchange } from "./exchange.ts";
import { waitForPath } from "./path_wait.ts";
import { type RelayResult, StreamRelay } from "./stream_relay.ts";
import { type SendOutcome, sendUpstream } from "./upstream.ts";

/** Goes before every request that has not begun. */
const RESUME_RANK = -1;
/**
 * Part of the estimated answer that is reserved. Of many requests on a target
 * each has on average written half, and estimates are right at the median.
 */
const RESERVED_ANSWER_SHARE = 0.7;
/** Time after which a refused caller may find room: a stream takes some seconds. */
const RETRY_AFTER_MS = 700;
/** Sends that were refused before a request is given up. */
const MAX_RETRIES = 4;
/** A target that refused a path is avoided for this long. */
const AVOID_AFTER_REFUSAL_MS = 600;

type UpstreamResponse = Extract<SendOutcome, { readonly kind: "answer" }>;

type SendResult =
  | { readonly kind: "done" }
  | {
    readonly kind: "not-run";
    readonly wasSent: boolean;
    readonly reason: string;
  }
  | { readonly kind: "broken"; readonly reason: string };

/** Serves one request. */
export class StreamCall {
  readonly #context: CallContext;
  readonly #exchange: Exchange;
  readonly #plan: CallPlan;
  readonly #figures: EngineProfile;
  readonly #firstIds = new Set<string>();
  readonly #excluded = new Set<string>();
  /** First target of the newest send. */
  #currentFirstId = "";
  readonly #tokens: number;
  #path: ReservedPath | undefined;
  #sends = 0;
  #retries = 0;
  #mayHaveRun = false;
  #lastEventId: number | undefined;
  #isHeadSent = false;
  #isUnframed = false;
  #waitedMs = 0;
  #firstEventMs: number | undefined;
  #repaths = 0;
  #isExpired = false;
  #abort = new AbortController();

  constructor(
    context: CallContext,
    exchange: Exchange,
    plan: CallPlan & { readonly figures: EngineProfile },
  ) {
    this.#context = context;
    this.#exchange = exchange;
    this.#plan = plan;
    this.#figures = plan.figures;
    this.#lastEventId = exchange.marks.lastEventId;
    const { promptTokens, maxAnswerTokens, likelyAnswerTokens } =
      exchange.marks;
    const likely = (likelyAnswerTokens ?? plan.figures.typicalAnswerTokens) *
      RESERVED_ANSWER_SHARE;
    this.#tokens = promptTokens +
      (maxAnswerTokens > 0 ? Math.min(maxAnswerTokens, likely) : likely);
  }

  async run(): Promise<void> {
    const { clock } = this.#context;
    const cancel = (): void => this.#abort.abort();
    this.#exchange.signal.addEventListener("abort", cancel, { once: true });
    const timer = setTimeout(() => {
      this.#isExpired = true;
      this.#abort.abort();
    }, Math.max(0, this.#plan.deadlineMs - clock.nowMs()));
    this.#context.budgetOf(this.#plan.service.name).recordRequest();
    let result: SendResult = {
      kind: "not-run",
      wasSent: false,
      reason: "no room on any path",
    };
    try {
      for (;;) {
        this.#path = await this.#waitForPath();
        if (this.#path === undefined) break;
        result = await this.#send(this.#path);
        this.#release();
        if (result.kind === "done" || !this.#mayRetry(result)) break;
      }
    } finally {
      clearTimeout(timer);
      this.#release();
      this.#abort.abort();
    }
    this.#finish(result);
  }

  #release(): void {
    if (this.#path === undefined) return;
    this.#path.release();
    this.#path = undefined;
    this.#context.queueOf(this.#plan.service.name).dispatch();
  }

  async #waitForPath(): Promise<ReservedPath | undefined> {
    const { clock } = this.#context;
    const startedMs = clock.nowMs();
    const path = await waitForPath({
      context: this.#context,
      demand: {
        service: this.#plan.service.name,
        figures: this.#figures,
        tokens: this.#tokens,
        excluded: this.#excluded,
        // All targets that the route allows have had it; one may have it again.
        allowedFirstTargets: this.#firstIds.size >= this.#plan.route.maxAttempts
          ? this.#firstIds
          : undefined,
      },
      // A stream that goes on has a caller who already waits between events.
      rank: this.#sends > 0 ? RESUME_RANK : this.#plan.rank,
      deadlineMs: this.#plan.deadlineMs,
      signal: this.#abort.signal,
    });
    this.#waitedMs += clock.nowMs() - startedMs;
    return path;
  }

  async #send(path: ReservedPath): Promise<SendResult> {
    const { codec, agent, clock, targets: targets, log } = this.#context;
    const { request, body } = this.#exchange;
    const { route, customer, requestId, deadlineMs } = this.#plan;
    const [first] = path.stages;
    const startedMs = clock.nowMs();
    this.#firstIds.add(first.targetId);
    this.#currentFirstId = first.targetId;
    this.#sends++;
    log.info("sent", {
      request: requestId,
      path: path.stages.map((stage) =>
        `${stage.targetId}=${stage.from}-${stage.to}`
      ).join(","),
      msPerToken: Math.round(path.msPerToken * 100) / 100,
      tokens: Math.round(this.#tokens),
      lastEventId: this.#lastEventId,
      waitedMs: Math.round(this.#waitedMs),
    });
    const sendAbort = new AbortController();
    const onAbort = (): void => sendAbort.abort();
    this.#abort.signal.addEventListener("abort", onAbort, { once: true });
    const relay = new StreamRelay({
      context: this.#context,
      service: this.#plan.service.name,
      figures: this.#figures,
      requestId,
      tokens: this.#tokens,
      path,
      abort: () => sendAbort.abort(),
      mayAbandon: () =>
        route.isResumable && this.#firstIds.size < route.maxAttempts,
      onPathChange: (next) => {
        this.#path = next;
        this.#repaths++;
      },
    });
    try {
      const outcome = await sendUpstream({
        endpoint: parseAddress(first.address),
        method: request.method ?? "POST",
        path: request.url ?? "/",
        headers: codec.forward(request.rawHeaders, {
          targetId: first.targetId,
          remainingMs: deadlineMs - startedMs,
          customer: customer?.name,
          path: path.stages,
          lastEventId: this.#sends > 1 ? this.#lastEventId : undefined,
          urgency: undefined,
        }),
        body,
        mayReuse: route.isResumable,
        signal: sendAbort.signal,
        agent,
      });
      if (outcome.kind === "failed") {
        if (outcome.verdict === "not-run") {
          if (!this.#abort.signal.aborted) {
            targets.markUnresponsive(first.targetId, {
              reason: outcome.reason,
            });
          }
          return { kind: "not-run", wasSent: false, reason: outcome.reason };
        }
        return { kind: "broken", reason: relay.failure ?? outcome.reason };
      }
      return await this.#receive(outcome, relay);
    } finally {
      relay.dispose();
      this.#abort.signal.removeEventListener("abort", onAbort);
    }
  }

  async #receive(
    outcome: UpstreamResponse,
    relay: StreamRelay,
  ): Promise<SendResult> {
    const { answer } = outcome;
    const { codec, targets: targets, clock } = this.#context;
    const marks = codec.answer(answer.rawHeaders);
    const status = answer.statusCode ?? 0;
    if (marks.isNotExecuted || status === 421) {
      answer.resume();
      const at = marks.failedStageAddress ?? this.#path?.stages[0].address;
      const target = at === undefined ? undefined : targets.byAddress(at);
      if (target !== undefined) {
        target.avoidUntilMs = clock.nowMs() + AVOID_AFTER_REFUSAL_MS;
        this.#excluded.add(target.id);
      }
      return {
        kind: "not-run",
        wasSent: true,
        reason: `refused with ${status} at ${at}`,
      };
    }
    if (marks.requestId !== this.#plan.requestId || !marks.isSigned) {
      answer.destroy();
      return { kind: "broken", reason: "answer is not this request's" };
    }
    if (answer.headers["content-encoding"] !== undefined) {
      answer.destroy();
      return { kind: "broken", reason: "answer is encoded" };
    }
    if (status !== 200) return await this.#forwardResponse(outcome, status);
    const onDrain = (): void => relay.handleDrain();
    this.#exchange.response.on("drain", onDrain);
    const result = await relay.run(outcome, {
      lastEventId: this.#lastEventId,
      onEvents: (bytes, lastId) => this.#forwardEvents(answer, bytes, lastId),
    });
    this.#exchange.response.off("drain", onDrain);
    // Its end proves nothing to a caller who was promised one.
    const isEndAmbiguous = isUnframed(answer) && !this.#isUnframed;
    return isEndAmbiguous && result.kind === "complete" && this.#isHeadSent
      ? { kind: "broken", reason: "the end of the stream is not told" }
      : this.#toSendResult(result);
  }

  /** An answer that is no stream goes to the caller as it is, if it is whole. */
  async #forwardResponse(
    outcome: UpstreamResponse,
    status: number,
  ): Promise<SendResult> {
    const { answer } = outcome;
    const body = await readResponseBody(outcome);
    if (body === undefined) {
      return { kind: "broken", reason: "answer broke off" };
    }
    if (this.#isHeadSent) {
      return { kind: "broken", reason: `status ${status} on resume` };
    }
    if (!this.#exchange.isDisconnected) {
      const headers = [
        ...responseHeaders(answer),
        "Content-Length",
        String(body.length),
      ];
      this.#exchange.answer(status, headers, body);
      this.#isHeadSent = true;
    }
    return { kind: "done" };
  }

  /** False where the caller does not read; the relay waits for the drain. */
  #forwardEvents(
    answer: IncomingMessage,
    bytes: Buffer,
    lastId: number | undefined,
  ): boolean {
    if (this.#exchange.isDisconnected) return true;
    if (!this.#isHeadSent) {
      this.#isHeadSent = true;
      this.#firstEventMs = this.#exchange.ageMs;
      this.#isUnframed = isUnframed(answer);
      if (this.#isUnframed) {
        this.#exchange.writeUnframedHead(200, responseHeaders(answer));
      } else {
        this.#exchange.writeHead(200, responseHeaders(answer));
      }
    }
    this.#lastEventId = lastId;
    return this.#exchange.response.write(bytes);
  }

  #toSendResult(end: RelayResult): SendResult {
    if (end.kind === "broken") return { kind: "broken", reason: end.reason };
    if (!this.#exchange.isDisconnected) {
      if (!this.#isHeadSent) {
        return { kind: "broken", reason: "stream without an event" };
      }
      this.#exchange.response.end();
    }
    return { kind: "done" };
  }

  /** Whether another send is allowed after one that did not complete. */
  #mayRetry(result: SendResult): boolean {
    const { log, budgetOf, clock, metrics } = this.#context;
    const { route, requestId, service, deadlineMs } = this.#plan;
    if (result.kind === "broken") {
      this.#mayHaveRun = true;
      this.#excluded.add(this.#currentFirstId);
    }
    if (result.kind === "not-run" && !result.wasSent) {
      this.#firstIds.delete(this.#currentFirstId);
      this.#excluded.add(this.#currentFirstId);
    }
    const isAllowed = result.kind === "not-run" || route.isResumable;
    const hasTime = clock.nowMs() < deadlineMs && !this.#abort.signal.aborted;
    // A later stage refused it: another path may lead by the same target.
    const mayReuseFirst = result.kind === "not-run" && result.wasSent &&
      [...this.#firstIds].some((id) => !this.#excluded.has(id));
    const hasTarget = mayReuseFirst || this.#firstIds.size < route.maxAttempts;
    const hasTries = hasTarget && ++this.#retries <= MAX_RETRIES;
    let willRetry = isAllowed && hasTime && hasTries;
    if (willRetry && !(result.kind === "not-run" && !result.wasSent)) {
      willRetry = budgetOf(service.name).tryAcquire();
      if (!willRetry) {
        metrics.count("jackdawshift_repeats_denied_total", {
          service: service.name,
        });
      }
    }
    log.info("send failed", {
      request: requestId,
      outcome: result.kind,
      reason: result.kind === "done" ? undefined : result.reason,
      lastEventId: this.#lastEventId,
      isHeadSent: this.#isHeadSent,
      goesOn: willRetry,
    });
    return willRetry;
  }

  #finish(result: SendResult): void {
    const { log, metrics, random } = this.#context;
    const exchange = this.#exchange;
    let status: number | string = "complete";
    if (exchange.isDisconnected) {
      status = "caller left";
    } else if (result.kind !== "done") {
      if (this.#isHeadSent) {
        status = "broken off";
        exchange.abortResponse();
      } else if (this.#mayHaveRun) {
        status = this.#isExpired ? 504 : 502;
        exchange.refuse(status, "the answer could not be completed");
      } else {
        status = 503;
        exchange.refuse(
          status,
          "no path has room",
          jitterRetryMs(RETRY_AFTER_MS, random),
        );
      }
    }
    metrics.count("jackdawshift_answers_total", { status: String(status) });
    if (this.#firstEventMs !== undefined) {
      metrics.record("jackdawshift_first_event_ms", this.#firstEventMs);
    }
    log.info("answered", {
      request: this.#plan.requestId,
      route: this.#plan.route.name,
      status,
      sends: this.#sends,
      repaths: this.#repaths,
      waitedMs: Math.round(this.#waitedMs),
      firstEventMs: this.#firstEventMs && Math.round(this.#firstEventMs),
      lastEventId: this.#lastEventId,
      ageMs: Math.round(exchange.ageMs),
      reason: result.kind === "done" ? undefined : result.reason,
    });
  }
}

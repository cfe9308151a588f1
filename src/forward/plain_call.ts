/**
 * Serves a call to a plain service, which a single target answers. An idempotent
 * call is retried or hedged at another target if the first fails or is slow;
 * other calls are sent again only if the target certainly did not run them.
 *
 * @module
 */

import type { Target } from "../paths/target.ts";
import {
  checkHead,
  isUnframed,
  readResponseBody,
  responseHeaders,
} from "./response.ts";
import { CallLosses, type MarkedSend } from "./call_losses.ts";
import {
  type CallContext,
  type CallPlan,
  jitterRetryMs,
  tryAcquireRetry,
} from "./context.ts";
import type { Exchange } from "./exchange.ts";
import { pickPlainTarget } from "./plain_target.ts";
import { sendToTarget } from "./target_send.ts";

/** Share of the route's latency goal after which a hedged send starts. */
const HEDGE_DELAY_FRACTION = 0.6;
/** Multiple of the route's latency goal after which a response is overdue. */
const OVERDUE_FACTOR = 2;
/** Least time before the deadline with which a send is worthwhile. */
const MIN_REMAINING_MS = 8;
/** Retry time for refused callers; calls take some 20 ms. */
const RETRY_AFTER_MS = 150;

/** Result of one send. */
type Attempt =
  | {
    readonly kind: "answer";
    readonly status: number;
    readonly headers: string[];
    readonly body: Buffer;
    /** A truncated body could not be told from a complete one. */
    readonly isUnframed: boolean;
  }
  | {
    readonly kind: "not-run";
    readonly wasSent: boolean;
    readonly reason: string;
  }
  | { readonly kind: "may-have-run"; readonly reason: string };

export class PlainCall {
  readonly #context: CallContext;
  readonly #exchange: Exchange;
  readonly #plan: CallPlan;
  readonly #losses: CallLosses;
  readonly #tried = new Set<string>();
  readonly #abort = new AbortController();
  #sends = 0;
  #running = 0;
  #mayHaveRun = false;
  /** A send has completed; the others are cancelled. */
  #isDecided = false;
  #fallback: Attempt | undefined;
  #lastReason = "no eligible target";

  constructor(context: CallContext, exchange: Exchange, plan: CallPlan) {
    this.#context = context;
    this.#exchange = exchange;
    this.#plan = plan;
    this.#losses = new CallLosses({ context, plan });
  }

  async run(): Promise<void> {
    const { clock } = this.#context;
    const cancel = (): void => this.#abort.abort();
    this.#exchange.signal.addEventListener("abort", cancel, { once: true });
    const timer = setTimeout(
      cancel,
      Math.max(0, this.#plan.deadlineMs - clock.nowMs()),
    );
    this.#context.budgetOf(this.#plan.service.name).recordRequest();
    try {
      const answer = await this.#losses.acquire()
        ? await this.#serve()
        : undefined;
      this.#isDecided = answer?.kind === "answer";
      if (!this.#exchange.isDisconnected) this.#finish(answer);
    } finally {
      clearTimeout(timer);
      this.#losses.release();
      this.#abort.abort();
    }
  }

  /**
   * Resolves with the attempt that decides the call, or undefined if no send is
   * left. Idempotent calls are hedged.
   */
  #serve(): Promise<Attempt | undefined> {
    const isIdempotent = this.#plan.route.retryPolicy === "idempotent";
    return new Promise((resolve) => {
      const launch = (): void => {
        const target = this.#nextTarget();
        if (target === undefined) {
          if (this.#running === 0) resolve(undefined);
          return;
        }
        this.#running++;
        void this.#attempt(target, isIdempotent).then((attempt) => {
          this.#running--;
          if (this.#isFinal(attempt, isIdempotent)) resolve(attempt);
          else launch();
        });
      };
      launch();
      // A content that may end its targets runs on one of them at a time.
      if (!isIdempotent || this.#losses.isSuspect) return;
      const hedge = setTimeout(() => {
        if (this.#running > 0 && !this.#losses.isSuspect) launch();
      }, this.#plan.route.firstByteGoalMs * HEDGE_DELAY_FRACTION);
      this.#abort.signal.addEventListener("abort", () => clearTimeout(hedge), {
        once: true,
      });
    });
  }

  #isFinal(attempt: Attempt, isIdempotent: boolean): boolean {
    if (attempt.kind === "answer") {
      const isSuccess = attempt.status < 500;
      if (!isSuccess) {
        this.#mayHaveRun = true;
        this.#fallback = attempt;
      }
      return isSuccess || !isIdempotent;
    }
    this.#lastReason = attempt.reason;
    if (attempt.kind === "not-run") return false;
    this.#mayHaveRun = true;
    return !isIdempotent;
  }

  /** Selects the target of the next send; undefined if no send is allowed. */
  #nextTarget(): Target | undefined {
    const { route, service, deadlineMs } = this.#plan;
    const { targets, limits, clock, random, domain } = this.#context;
    if (this.#abort.signal.aborted || this.#sends >= route.maxAttempts) {
      return undefined;
    }
    if (this.#losses.heldForMs > 0) return undefined;
    if (deadlineMs - clock.nowMs() < MIN_REMAINING_MS) return undefined;
    const target = pickPlainTarget({
      targets: targets.ofService(service.name).filter(({ id }) =>
        limits.canSend(id)
      ),
      tried: this.#tried,
      domain,
      isPreferred: ({ id }) => limits.isRenewalDue(id),
      random,
    });
    if (target === undefined) return undefined;
    if (this.#sends > 0 && !tryAcquireRetry(this.#context, service.name)) {
      return undefined;
    }
    this.#tried.add(target.id);
    limits.recordSend(target.id);
    this.#sends++;
    return target;
  }

  async #attempt(target: Target, mayRetry: boolean): Promise<Attempt> {
    const { clock, log, metrics } = this.#context;
    const startedMs = clock.nowMs();
    const send = this.#losses.beginSend([{ targetId: target.id }]);
    log.info("request sent", {
      request: this.#plan.requestId,
      content: this.#plan.contentId,
      target: target.id,
      send: this.#sends,
    });
    target.ownLoad.streams++;
    const failure = { targetId: target.id, lastEventId: undefined };
    const overdue = setTimeout(
      () => this.#losses.recordOverdue(send, failure),
      this.#plan.route.firstByteGoalMs * OVERDUE_FACTOR,
    );
    const attempt = await this.#send(target, send);
    clearTimeout(overdue);
    target.ownLoad.streams--;
    const durationMs = clock.nowMs() - startedMs;
    // A request that did not reach a target does not count as a send.
    if (attempt.kind === "not-run" && !attempt.wasSent) this.#sends--;
    const isSuccess = attempt.kind === "answer" && attempt.status < 500;
    if (!this.#abort.signal.aborted || isSuccess) {
      target.recordOutcome(isSuccess, durationMs);
    }
    metrics.record("jackdawshift_send_ms", durationMs, {
      service: this.#plan.service.name,
      outcome: attempt.kind,
    });
    if (!isSuccess) {
      log.info("send failed", {
        request: this.#plan.requestId,
        target: target.id,
        outcome: attempt.kind,
        status: attempt.kind === "answer" ? attempt.status : undefined,
        reason: attempt.kind === "answer" ? undefined : attempt.reason,
        durationMs: Math.round(durationMs),
        isCancelled: this.#abort.signal.aborted,
      });
    }
    if (isSuccess) this.#losses.recordCompletion();
    if (attempt.kind === "may-have-run" && !this.#isDecided) {
      const check = this.#losses.recordFailure(send, {
        ...failure,
        isAbandoned: this.#exchange.isDisconnected,
      });
      if (mayRetry && !this.#abort.signal.aborted) await check;
    }
    return attempt;
  }

  async #send(target: Target, send: MarkedSend): Promise<Attempt> {
    const { codec } = this.#context;
    const { route, requestId } = this.#plan;
    const outcome = await sendToTarget({
      context: this.#context,
      exchange: this.#exchange,
      plan: this.#plan,
      target: { targetId: target.id, address: target.record.address },
      mayReuse: route.retryPolicy === "idempotent",
      signal: this.#abort.signal,
    });
    if (outcome.kind === "failed") {
      return outcome.verdict === "not-run"
        ? { kind: "not-run", wasSent: false, reason: outcome.reason }
        : { kind: "may-have-run", reason: outcome.reason };
    }
    const { answer } = outcome;
    const fault = checkHead(answer, {
      metadata: codec.answer(answer.rawHeaders),
      requestId,
    });
    if (fault?.kind === "refused") {
      const { status } = fault;
      if (status === 421) this.#losses.recordReplaced(send, target.id);
      return {
        kind: "not-run",
        wasSent: true,
        reason: `refused with status ${status}`,
      };
    }
    if (fault !== undefined) {
      return { kind: "may-have-run", reason: fault.reason };
    }
    const responseBody = await readResponseBody(outcome);
    if (responseBody === undefined) {
      return {
        kind: "may-have-run",
        reason: "response truncated or too large",
      };
    }
    return {
      kind: "answer",
      status: answer.statusCode ?? 0,
      headers: responseHeaders(answer),
      body: responseBody,
      isUnframed: isUnframed(answer),
    };
  }

  /** Time until the first target wants requests again; 0 if one does now. */
  #pausedForMs(): number {
    const { targets, limits } = this.#context;
    const ready = targets.ofService(this.#plan.service.name)
      .filter(({ isReady }) => isReady);
    if (ready.length === 0) return 0;
    return Math.min(...ready.map(({ id }) => limits.pausedForMs(id)));
  }

  #finish(attempt: Attempt | undefined): void {
    const { log, metrics, random, clock } = this.#context;
    const exchange = this.#exchange;
    const answer = attempt?.kind === "answer" ? attempt : this.#fallback;
    let status: number;
    if (answer?.kind === "answer") {
      status = answer.status;
      writeResponse(exchange, answer);
    } else if (this.#mayHaveRun) {
      status = clock.nowMs() >= this.#plan.deadlineMs ? 504 : 502;
      exchange.refuse(status, "no valid response from a target");
    } else {
      status = 503;
      this.#losses.refuse(exchange, {
        reason: "no target available for the request",
        retryAfterMs: this.#pausedForMs() +
          jitterRetryMs(RETRY_AFTER_MS, random),
      });
    }
    metrics.count("jackdawshift_answers_total", { status: String(status) });
    metrics.record("jackdawshift_answer_ms", exchange.ageMs, {
      service: this.#plan.service.name,
    });
    log.info("request finished", {
      request: this.#plan.requestId,
      content: this.#plan.contentId,
      route: this.#plan.route.name,
      status,
      sends: this.#sends,
      ageMs: Math.round(exchange.ageMs),
      reason: answer === undefined ? this.#lastReason : undefined,
    });
  }
}

function writeResponse(
  exchange: Exchange,
  answer: Extract<Attempt, { readonly kind: "answer" }>,
): void {
  const { status, headers, body } = answer;
  if (!answer.isUnframed) {
    const framed = [...headers, "Content-Length", String(body.length)];
    exchange.answer(status, framed, body);
    return;
  }
  exchange.writeUnframedHead(status, headers);
  exchange.response.end(body);
}

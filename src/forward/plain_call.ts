/**
 * Serves a call to a plain service, which a single target answers. An idempotent
 * call is retried or hedged at another target if the first fails or is slow;
 * other calls are sent again only if the target certainly did not run them.
 *
 * @module
 */

import { timerDelayMs } from "../common/clock.ts";
import type { Target } from "../paths/target.ts";
import type { HostRecord } from "../ports/types.ts";
import { learnFromDelegate, targetHeader } from "./answer_signals.ts";
import { checkHead } from "./response.ts";
import { CallLosses, type MarkedSend } from "./call_losses.ts";
import {
  type CallContext,
  type CallPlan,
  jitterRetryMs,
  recordRequest,
  tryAcquireRetry,
} from "./context.ts";
import { refuseCutOff } from "./cut_off_refusal.ts";
import { refuseStopping } from "./stopping_refusal.ts";
import { checkDelegateHead, sendToHost, unmarkedEnd } from "./delegation.ts";
import type { Exchange } from "./exchange.ts";
import {
  type Attempt,
  readAnswer,
  toAttempt,
  writeResponse,
} from "./plain_attempt.ts";
import { pickPlainTarget } from "./plain_target.ts";
import { sendToTarget } from "./target_send.ts";
import type { SendOutcome } from "./upstream.ts";

/** Share of the route's latency goal after which a hedged send starts. */
const HEDGE_DELAY_FRACTION = 0.6;
/** Multiple of the route's latency goal after which a response is overdue. */
const OVERDUE_FACTOR = 2;
/** Least time before the deadline with which a send is worthwhile. */
const MIN_REMAINING_MS = 8;
/** Retry time for refused callers; calls take some 20 ms. */
const RETRY_AFTER_MS = 150;

export class PlainCall {
  readonly #context: CallContext;
  readonly #exchange: Exchange;
  readonly #plan: CallPlan;
  readonly #losses: CallLosses;
  readonly #tried = new Set<string>();
  /** Hosts that did not take the call. */
  readonly #declined = new Set<string>();
  readonly #abort = new AbortController();
  #sends = 0;
  #running = 0;
  #mayHaveRun = false;
  /** A send has completed; the others are cancelled. */
  #isDecided = false;
  #fallback: Attempt | undefined;
  #lastReason = "no eligible target";
  /** Time to retry that another host named when it refused the call. */
  #retryAfterMs: number | undefined;

  constructor(context: CallContext, exchange: Exchange, plan: CallPlan) {
    this.#context = context;
    this.#exchange = exchange;
    this.#plan = plan;
    this.#losses = new CallLosses({ context, plan });
  }

  async run(): Promise<void> {
    const { clock, stopAdmission } = this.#context;
    const startedMs = clock.nowMs();
    const cancel = (): void => this.#abort.abort();
    this.#exchange.signal.addEventListener("abort", cancel, { once: true });
    const timer = setTimeout(
      cancel,
      timerDelayMs(this.#plan.deadlineMs - clock.nowMs()),
    );
    recordRequest(this.#context, this.#plan);
    try {
      const answer = await this.#losses.acquire()
        ? await this.#serve()
        : undefined;
      this.#isDecided = answer?.kind === "answer";
      if (!this.#exchange.isDisconnected) this.#finish(answer);
      if (answer?.kind === "answer") {
        const { name } = this.#plan.route;
        stopAdmission.recordRun(name, clock.nowMs() - startedMs);
      }
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
    return new Promise((resolve, reject) => {
      const launch = (): void => {
        const attempt = this.#nextAttempt();
        if (attempt === undefined) {
          if (this.#running === 0) resolve(undefined);
          return;
        }
        this.#running++;
        void attempt().then((attempt) => {
          this.#running--;
          if (this.#isFinal(attempt, isIdempotent)) resolve(attempt);
          else launch();
        }).catch(reject);
      };
      launch();
      // A content that may end its targets runs on one of them at a time.
      if (!isIdempotent || this.#losses.isSuspect) return;
      const hedge = setTimeout(() => {
        if (this.#running > 0 && !this.#losses.isSuspect) launch();
      }, timerDelayMs(this.#plan.route.firstByteGoalMs * HEDGE_DELAY_FRACTION));
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

  /** Prepares the next send; undefined if none is allowed. */
  #nextAttempt(): (() => Promise<Attempt>) | undefined {
    const { route, service, deadlineMs, isDelegated } = this.#plan;
    const { clock, reachability, stopAdmission } = this.#context;
    if (this.#abort.signal.aborted || this.#sends >= route.maxAttempts) {
      return undefined;
    }
    if (this.#losses.heldForMs > 0) return undefined;
    if (deadlineMs - clock.nowMs() < MIN_REMAINING_MS) return undefined;
    const isLate = clock.nowMs() > stopAdmission.latestStartMs(this.#plan);
    if (isLate && !this.#mayHaveRun) return undefined;
    if (reachability.isCutOff(service.name)) {
      const host = isDelegated ? undefined : this.#nextHost();
      return host && (() => this.#delegate(host));
    }
    const isIdempotent = route.retryPolicy === "idempotent";
    const target = this.#nextTarget();
    return target && (() => this.#attempt(target, isIdempotent));
  }

  /** Selects the host that serves the call in the place of this one. */
  #nextHost(): HostRecord | undefined {
    // A host that could not serve the call has told when it can be served.
    if (this.#retryAfterMs !== undefined) return undefined;
    const host = this.#context.delegates.choose({
      service: this.#plan.service.name,
      excluded: this.#declined,
      avoided: this.#tried,
    });
    return host && this.#beginSend(host.id) ? host : undefined;
  }

  /** Selects the target of the next send. */
  #nextTarget(): Target | undefined {
    const { service } = this.#plan;
    const { targets, limits, random, domain } = this.#context;
    const target = pickPlainTarget({
      targets: targets.ofService(service.name).filter(({ id }) =>
        limits.canSend(id)
      ),
      tried: this.#tried,
      domain,
      isPreferred: ({ id }) => limits.isRenewalDue(id),
      random,
    });
    if (target === undefined || !this.#beginSend(target.id)) return undefined;
    limits.recordSend(target.id);
    return target;
  }

  /** Acquires a retry if the call was sent before; returns false without one. */
  #beginSend(receiver: string): boolean {
    const { service } = this.#plan;
    if (this.#sends > 0 && !tryAcquireRetry(this.#context, service.name)) {
      return false;
    }
    this.#tried.add(receiver);
    this.#sends++;
    return true;
  }

  /** Lets another host serve the call, since this one reaches no target. */
  async #delegate(host: HostRecord): Promise<Attempt> {
    const context = this.#context;
    const plan = this.#plan;
    context.log.info("request delegated", {
      request: plan.requestId,
      to: host.id,
      send: this.#sends,
    });
    context.delegates.begin(host);
    const sentMs = context.clock.nowMs();
    const outcome = await sendToHost({
      context,
      exchange: this.#exchange,
      plan,
      host,
      mayReuse: plan.route.retryPolicy === "idempotent",
      signal: this.#abort.signal,
    });
    context.delegates.end(host);
    const attempt = await this.#readDelegated(outcome, sentMs);
    // A call that no target received does not count as a send.
    if (attempt.kind === "not-run") {
      this.#sends--;
      this.#declined.add(host.id);
    }
    return attempt;
  }

  async #readDelegated(
    outcome: SendOutcome,
    sentMs: number,
  ): Promise<Attempt> {
    if (outcome.kind === "failed") return toAttempt(outcome);
    const { answer } = outcome;
    const metadata = this.#context.codec.answer(answer.rawHeaders);
    const { requestId } = this.#plan;
    const refusal = checkDelegateHead(outcome, { metadata, requestId });
    if (refusal?.kind === "invalid") {
      return { kind: "may-have-run", reason: refusal.reason };
    }
    if (refusal !== undefined) {
      if (refusal.kind === "refused") {
        this.#retryAfterMs = refusal.retryAfterMs ?? RETRY_AFTER_MS;
      }
      return { kind: "not-run", wasSent: false, reason: refusal.reason };
    }
    learnFromDelegate(this.#context, { answer, metadata, sentMs });
    const attempt = await readAnswer(outcome);
    const reason = unmarkedEnd(answer);
    return reason === undefined ? attempt : { kind: "may-have-run", reason };
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
      timerDelayMs(this.#plan.route.firstByteGoalMs * OVERDUE_FACTOR),
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
        isAbandoned: this.#exchange.signal.aborted,
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
    if (outcome.kind === "failed") return toAttempt(outcome);
    const { answer } = outcome;
    const metadata = codec.answer(answer.rawHeaders);
    const fault = checkHead(outcome, { metadata, requestId });
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
    const named = targetHeader(this.#plan, { targetId: target.id, metadata });
    return await readAnswer(outcome, named);
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
    const { log, metrics, random, clock, reachability, stopAdmission } =
      this.#context;
    const exchange = this.#exchange;
    const answer = attempt?.kind === "answer" ? attempt : this.#fallback;
    let status: number;
    if (answer?.kind === "answer") {
      status = answer.status;
      writeResponse(exchange, answer);
    } else if (this.#mayHaveRun) {
      status = clock.nowMs() >= this.#plan.deadlineMs ? 504 : 502;
      exchange.refuse(status, "no valid response from a target");
    } else if (clock.nowMs() >= stopAdmission.latestStartMs(this.#plan)) {
      status = refuseStopping(this.#context, exchange, this.#plan);
    } else if (reachability.isCutOff(this.#plan.service.name)) {
      status = refuseCutOff(this.#context, exchange, {
        ...this.#plan,
        retryAfterMs: this.#retryAfterMs,
      });
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

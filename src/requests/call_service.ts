/**
 * Dispatches calls to plain services. Idempotent calls may be retried after any
 * failure; other calls run at most once, under a claim on their idempotency key
 * if they have one.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { Err } from "ts-results-es";
import { type Clock, systemClock } from "../common/clock.ts";
import type { Random } from "../common/random.ts";
import {
  type Failure,
  mayHaveRun,
  notRun,
  type Outcome,
} from "../common/verdict.ts";
import type { Config, ServiceConfig } from "../config/schema.ts";
import type { IConfigService } from "../config/services.ts";
import type { ITargetDirectory } from "../pipelines/services.ts";
import type { IServiceClient } from "../clients/services.ts";
import type { ServiceResponse } from "../clients/types.ts";
import { RetryBudget } from "./retry_budget.ts";
import type {
  ICallService,
  IClaim,
  IClaimService,
  IRequestJournal,
} from "./services.ts";
import { failureForCaller } from "./caller_failure.ts";
import { ServiceTargetBalancer } from "./service_target_balancer.ts";
import type { CallRequest } from "./types.ts";
import { VerdictTally } from "./verdict_tally.ts";

export interface CallServiceOptions {
  readonly config: IConfigService;
  readonly directory: ITargetDirectory;
  readonly services: IServiceClient;
  readonly claims: IClaimService;
  readonly journal: IRequestJournal;
  readonly clock?: Clock;
  readonly random?: Random;
  readonly retryBudget?: RetryBudget;
  /** Generates attempt ids that are unique in the fleet. */
  readonly newId?: () => string;
  readonly maxAttempts?: number;
  /** Retry delay sent to the caller if the failure itself has none. */
  readonly defaultRetryAfterMs?: number;
}

/** A call with the configuration of its service. */
interface PlannedCall {
  readonly request: CallRequest;
  readonly service: ServiceConfig;
  readonly config: Config;
  readonly mayRepeat: boolean;
  readonly claim?: IClaim;
}

export class CallService implements ICallService {
  readonly #options: Required<CallServiceOptions>;
  readonly #targets: ServiceTargetBalancer;

  constructor(options: CallServiceOptions) {
    this.#options = {
      ...options,
      clock: options.clock ?? systemClock,
      random: options.random ?? Math.random,
      retryBudget: options.retryBudget ?? new RetryBudget(),
      newId: options.newId ?? randomUUID,
      maxAttempts: options.maxAttempts ?? 4,
      defaultRetryAfterMs: options.defaultRetryAfterMs ?? 1_000,
    };
    this.#targets = new ServiceTargetBalancer({
      directory: options.directory,
      random: this.#options.random,
    });
  }

  async call(request: CallRequest): Promise<Outcome<ServiceResponse>> {
    const { config } = this.#options.config.state;
    const service = config.services[request.service];
    if (service === undefined) {
      return notRun("not-found", `no service is named "${request.service}"`);
    }
    if (!service.customers.includes(request.customer)) {
      const message =
        `no service "${request.service}" is open to this customer`;
      return notRun("forbidden", message);
    }
    this.#options.retryBudget.recordFirstAttempt();
    const mayRepeat = request.idempotent;
    const planned = { request, service, config, mayRepeat };
    const outcome = mayRepeat || request.idempotencyKey === undefined
      ? await this.#dispatch(planned)
      : await this.#callAtMostOnce(planned, request.idempotencyKey);
    this.#recordOutcome(request, outcome);
    return outcome;
  }

  /**
   * Calls under a claim, or without one if the log is down and the service
   * itself rejects repeated keys.
   */
  async #callAtMostOnce(
    planned: PlannedCall,
    idempotencyKey: string,
  ): Promise<Outcome<ServiceResponse>> {
    const { request, service } = planned;
    const acquired = await this.#options.claims.acquire(
      {
        customer: request.customer,
        service: request.service,
        idempotencyKey,
      },
      { deadlineMs: request.deadlineMs, signal: request.signal },
    );
    if (acquired.isOk()) return this.#callWithClaim(acquired.value, planned);
    const { code, verdict } = acquired.error;
    const isLogDown = code === "log-unavailable" && verdict === "not-run";
    if (!isLogDown || !service.rejectsRepeatedKeys) {
      return new Err(failureForCaller(acquired.error, this.#options));
    }
    this.#options.journal.note(request.requestId, "without-claim");
    return await this.#dispatch(planned);
  }

  async #callWithClaim(
    claim: IClaim,
    planned: PlannedCall,
  ): Promise<Outcome<ServiceResponse>> {
    const outcome = await this.#dispatch({ ...planned, claim });
    if (outcome.isOk()) claim.settle("ran");
    else if (outcome.error.verdict === "not-run") claim.release();
    else claim.settle("may-have-run");
    return outcome;
  }

  async #dispatch(planned: PlannedCall): Promise<Outcome<ServiceResponse>> {
    const { retryBudget, maxAttempts } = this.#options;
    const tally = new VerdictTally();
    const avoid = new Set<string>();
    for (let attempt = 1;; attempt += 1) {
      const outcome = await this.#attempt(planned, avoid);
      if (outcome.isOk()) return outcome;
      this.#recordFailure(planned.request, outcome.error);
      tally.note(outcome.error.verdict);
      const isFinal = !this.#mayRetry(planned, outcome.error) ||
        attempt >= maxAttempts || !retryBudget.tryConsumeRetry();
      if (isFinal) {
        const combined = tally.combine(outcome.error);
        return new Err(failureForCaller(combined, this.#options));
      }
    }
  }

  async #attempt(
    planned: PlannedCall,
    avoid: Set<string>,
  ): Promise<Outcome<ServiceResponse>> {
    const { request, service, config, claim } = planned;
    const { clock, services, newId, journal } = this.#options;
    const target = this.#targets.pick(service.targets, avoid);
    if (target === undefined) {
      return notRun(
        "no-target",
        `no target of service "${request.service}" accepts new work`,
      );
    }
    avoid.add(target);
    const url = config.targets[target]?.url;
    if (url === undefined) {
      return notRun("no-target", `target "${target}" is not configured`);
    }
    const inFlight = this.#targets.trackCall(target);
    const attemptId = newId();
    journal.note(request.requestId, "attempt", { attemptId, target });
    const blocked = dispatchFailure(request, claim, clock);
    if (blocked !== undefined) {
      inFlight.dispose();
      return new Err(blocked);
    }
    const { requestId, method, path, contentType, body, idempotencyKey } =
      request;
    const called = services.call(
      url,
      {
        attemptId,
        requestId,
        method,
        path,
        contentType,
        body,
        idempotencyKey,
      },
      { deadlineMs: request.deadlineMs, signal: request.signal },
    );
    const stop = new AbortController();
    const outcome = await Promise.race([
      called,
      clock.sleep(request.deadlineMs - clock.nowMs(), stop.signal),
    ]);
    stop.abort();
    inFlight.dispose();
    if (outcome !== undefined) return outcome;
    return mayHaveRun(
      "deadline-exceeded",
      `no answer from target "${target}" before the deadline`,
    );
  }

  #mayRetry(planned: PlannedCall, failure: Failure): boolean {
    const { request, mayRepeat } = planned;
    if (request.signal.aborted) return false;
    if (this.#options.clock.nowMs() >= request.deadlineMs) return false;
    switch (failure.code) {
      case "no-target":
      case "cancelled":
      case "deadline-exceeded":
      case "bad-request":
        return false;
      default:
        return mayRepeat || failure.verdict === "not-run";
    }
  }

  #recordFailure(request: CallRequest, failure: Failure): void {
    const { code, message } = failure;
    const { journal } = this.#options;
    journal.note(request.requestId, "attempt-failed", { code, message });
  }

  #recordOutcome(
    request: CallRequest,
    outcome: Outcome<ServiceResponse>,
  ): void {
    const { journal } = this.#options;
    if (outcome.isOk()) {
      const { status } = outcome.value;
      journal.note(request.requestId, "complete", { status });
      return;
    }
    const { verdict, code } = outcome.error;
    journal.note(request.requestId, "given-up", { verdict, code });
  }
}

/**
 * Returns the failure that prevents dispatch, if any. Called right before the
 * request is sent, without an `await` in between.
 */
function dispatchFailure(
  request: CallRequest,
  claim: IClaim | undefined,
  clock: Clock,
): Failure | undefined {
  if (request.signal.aborted) {
    return notRun("cancelled", "the caller cancelled the request").error;
  }
  if (clock.nowMs() >= request.deadlineMs) {
    return notRun("deadline-exceeded", "the request's deadline passed").error;
  }
  if (claim !== undefined && !claim.mayDispatch()) {
    return notRun(
      "deadline-exceeded",
      "the claim expired before the request was sent",
    ).error;
  }
  return undefined;
}

/**
 * What every caller's request passes before it is parsed: readiness,
 * authentication, the customer's limits, and the queue for a place on this host.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import type { Request, Response } from "restify";
import { Ok } from "ts-results-es";
import type { Clock } from "../common/clock.ts";
import {
  type Disposable,
  DisposableStore,
  toDisposable,
} from "../common/lifecycle.ts";
import type { IMetrics } from "../common/metrics.ts";
import { type Failure, notRun, type Outcome } from "../common/verdict.ts";
import type { IConfigService } from "../config/services.ts";
import type { AdmissionQueue } from "../fleet/admission_queue.ts";
import type { ILimitService } from "../fleet/services.ts";
import type { IRequestJournal } from "../requests/services.ts";
import type { Authenticator } from "./authenticator.ts";
import { sendFailure } from "./http_server.ts";

const REQUEST_ID = /^[A-Za-z0-9._-]{1,64}$/;
const DEADLINE_HEADER = "jackdawshift-deadline";
const RETRY_AFTER_MS = 1_000;
const ADMISSION_TIMEOUT_MS = 1_000;

/** A request that passed the gate. Disposing it ends its share of the limits. */
export interface AdmittedRequest extends Disposable {
  readonly requestId: string;
  readonly customer: string;
  /** Aborts when the caller hangs up before the answer has ended. */
  readonly signal: AbortSignal;
  readonly abort: () => void;
}

/** Options of the gate. */
export interface CallerAdmissionOptions {
  readonly clock: Clock;
  readonly metrics: IMetrics;
  readonly config: IConfigService;
  readonly limits: ILimitService;
  readonly journal: IRequestJournal;
  readonly authenticator: Authenticator;
  /** Gives the places in which this host serves requests. */
  readonly queue: AdmissionQueue;
}

/** Admits callers' requests. */
export class CallerAdmission {
  readonly #options: CallerAdmissionOptions;
  #inFlight = 0;

  constructor(options: CallerAdmissionOptions) {
    this.#options = options;
    options.metrics.gauge(
      "jackdawshift_requests_in_flight",
      () => this.#inFlight,
    );
  }

  get inFlightCount(): number {
    return this.#inFlight;
  }

  /** Admits a request, or answers it with the refusal and returns undefined. */
  async admit(
    request: Request,
    response: Response,
  ): Promise<AdmittedRequest | undefined> {
    const requestId = readRequestId(request);
    response.setHeader("x-request-id", requestId);
    const owned = new DisposableStore();
    const disconnect = abortOnDisconnect(response);
    this.#inFlight++;
    owned.add(toDisposable(() => this.#inFlight--));
    const admitted = await this.#acquireResources(request, disconnect.signal)
      .catch((error) => {
        owned.dispose();
        throw error;
      });
    if (admitted.isErr()) {
      owned.dispose();
      this.reject(response, admitted.error, requestId);
      return undefined;
    }
    owned.add(admitted.value.admission);
    return {
      requestId,
      customer: admitted.value.customer,
      signal: disconnect.signal,
      abort: () => disconnect.abort(),
      dispose: () => owned.dispose(),
    };
  }

  /** Answers with a problem document and counts it. */
  reject(response: Response, failure: Failure, requestId: string): void {
    const { clock, metrics, journal } = this.#options;
    metrics.count("jackdawshift_answers_total", {
      verdict: failure.verdict,
      code: failure.code,
    });
    journal.note(requestId, "refused", {
      verdict: failure.verdict,
      code: failure.code,
    });
    sendFailure(response, failure, clock, { requestId });
  }

  /** The earlier of the caller's deadline header and the configured limit, monotonic. */
  deadlineMs(request: Request, timeoutMs: number): number {
    const { clock } = this.#options;
    const wallMs = Number(request.headers[DEADLINE_HEADER] ?? Number.NaN);
    const callerTimeoutMs = Number.isFinite(wallMs)
      ? wallMs - clock.wallMs()
      : timeoutMs;
    return clock.nowMs() + Math.min(timeoutMs, callerTimeoutMs);
  }

  async #acquireResources(
    request: Request,
    signal: AbortSignal,
  ): Promise<Outcome<{ customer: string; admission: Disposable }>> {
    const { clock, config, limits, authenticator, queue } = this.#options;
    const retryAtWallMs = clock.wallMs() + RETRY_AFTER_MS;
    if (!config.isReady) {
      return notRun(
        "shutting-down",
        "this host has no confirmed configuration",
        { retryAtWallMs },
      );
    }
    const customer = authenticator.authenticate(request);
    if (customer.isErr()) return customer;
    // Read now: the customer may be gone from the configuration after a wait.
    const { priority } = config.state.config.customers[customer.value];
    const deadlineMs = clock.nowMs() + ADMISSION_TIMEOUT_MS;
    const rateSlot = await limits.admitOrWait(customer.value, { deadlineMs });
    if (rateSlot.isErr()) return rateSlot;
    const queueSlot = await queue.admit({
      customer: customer.value,
      priority,
      deadlineMs,
      signal,
    });
    if (queueSlot.isErr()) {
      rateSlot.value.dispose();
      return queueSlot;
    }
    const admission = new DisposableStore();
    admission.add(rateSlot.value);
    admission.add(queueSlot.value);
    return new Ok({ customer: customer.value, admission });
  }
}

/** Aborts when the connection closes before the answer has been sent whole. */
function abortOnDisconnect(response: Response): AbortController {
  const disconnect = new AbortController();
  response.on("close", () => {
    if (!response.writableFinished) disconnect.abort();
  });
  return disconnect;
}

function readRequestId(request: Request): string {
  const requestId = request.headers["x-request-id"];
  return typeof requestId === "string" && REQUEST_ID.test(requestId)
    ? requestId
    : randomUUID();
}

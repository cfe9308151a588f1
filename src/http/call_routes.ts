/**
 * Routes of calls to plain services.
 *
 * @module
 */

import type { Request, Response } from "restify";
import { Ok } from "ts-results-es";
import type { Clock } from "../common/clock.ts";
import type { IMetrics } from "../common/metrics.ts";
import { notRun, type Outcome } from "../common/verdict.ts";
import type { ServiceConfig } from "../config/schema.ts";
import type { IConfigService } from "../config/services.ts";
import type { ICallService } from "../requests/services.ts";
import type { CallRequest } from "../requests/types.ts";
import { readBody } from "./body.ts";
import type { AdmittedRequest, CallerAdmission } from "./caller_admission.ts";
import { type CallerBodyLimits, findPermitted } from "./completion_routes.ts";
import { type HttpServer, sendBytes } from "./http_server.ts";

const IDEMPOTENT_HEADER = "jackdawshift-idempotent";
const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,128}$/;
const METHODS = ["get", "post", "put", "patch", "del", "head"] as const;
const IDEMPOTENT_METHODS: readonly string[] = ["GET", "HEAD"];

/** Options of the routes. */
export interface CallRoutesOptions extends CallerBodyLimits {
  readonly clock: Clock;
  readonly metrics: IMetrics;
  readonly config: IConfigService;
  readonly calls: ICallService;
  readonly admission: CallerAdmission;
}

/** Serves `/services/{service}/…`. */
export class CallRoutes {
  readonly #options: CallRoutesOptions;

  constructor(options: CallRoutesOptions) {
    this.#options = options;
  }

  attach(server: HttpServer): void {
    for (const method of METHODS) {
      server.route(method, "/services/:service/*", (request, response) => {
        return this.#serve(request, response);
      });
    }
  }

  async #serve(request: Request, response: Response): Promise<void> {
    const { admission: admission, metrics } = this.#options;
    const admitted = await admission.admit(request, response);
    if (admitted === undefined) return;
    try {
      const call = await this.#parse(request, admitted);
      if (call.isErr()) {
        return admission.reject(response, call.error, admitted.requestId);
      }
      const outcome = await this.#options.calls.call(call.value);
      if (outcome.isErr()) {
        return admission.reject(response, outcome.error, admitted.requestId);
      }
      metrics.count("jackdawshift_answers_total", { verdict: "complete" });
      const { status, contentType, body } = outcome.value;
      sendBytes(
        response,
        status,
        contentType ? { "content-type": contentType } : {},
        body,
      );
    } finally {
      admitted.dispose();
    }
  }

  async #parse(
    request: Request,
    admitted: AdmittedRequest,
  ): Promise<Outcome<CallRequest>> {
    const { clock, config, admission: admission, maxBodyBytes, bodyWithinMs } =
      this.#options;
    const name: string = request.params.service;
    const service = findPermitted(
      config.state.config.services,
      name,
      admitted.customer,
    );
    if (service === undefined) {
      return notRun(
        "forbidden",
        `no service "${name}" is open to this customer`,
      );
    }
    const key = readIdempotencyKey(request);
    if (key.isErr()) return key;
    const deadlineMs = clock.nowMs() + bodyWithinMs;
    const body = await readBody(request, {
      maxBytes: maxBodyBytes,
      deadlineMs,
      clock,
    });
    if (body.isErr()) return body;
    return new Ok({
      requestId: admitted.requestId,
      customer: admitted.customer,
      service: name,
      method: request.method ?? "GET",
      path: servicePath(request.url ?? "/", name),
      contentType: request.headers["content-type"],
      body: body.value,
      idempotencyKey: key.value,
      idempotent: isIdempotent(request, service),
      deadlineMs: admission.deadlineMs(request, service.answerWithinMs),
      signal: admitted.signal,
    });
  }
}

function readIdempotencyKey(request: Request): Outcome<string | undefined> {
  const key = request.headers["idempotency-key"];
  if (key === undefined) return new Ok(undefined);
  if (typeof key === "string" && IDEMPOTENCY_KEY.test(key)) return new Ok(key);
  return notRun(
    "bad-request",
    "Idempotency-Key: 1 to 128 printable ASCII characters are allowed",
  );
}

function isIdempotent(request: Request, service: ServiceConfig): boolean {
  const headerValue = request.headers[IDEMPOTENT_HEADER];
  if (headerValue === "true" || headerValue === "false") {
    return headerValue === "true";
  }
  return service.idempotent ||
    IDEMPOTENT_METHODS.includes(request.method ?? "");
}

function servicePath(url: string, service: string): string {
  return url.slice(`/services/${service}`.length);
}

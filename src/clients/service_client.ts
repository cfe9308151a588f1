/**
 * Client of plain services. A service's own answer is passed on whatever its
 * status, except for the refusals that prove that it did nothing. A service
 * need not name the request that it answers, so each call has a connection of
 * its own, on which no answer to another request can arrive.
 *
 * @module
 */

import { Ok } from "ts-results-es";
import { type Clock, systemClock } from "../common/clock.ts";
import type { Outcome } from "../common/verdict.ts";
import type { HttpClient } from "./http_client.ts";
import { joinUrl } from "./json_call.ts";
import { rejectionCode, responseFailure } from "./rejections.ts";
import type { IServiceClient } from "./services.ts";
import type { CallOptions, ServiceRequest, ServiceResponse } from "./types.ts";

export interface ServiceClientOptions {
  readonly http: HttpClient;
  readonly clock?: Clock;
}

/** Plain services over HTTP. */
export class ServiceClient implements IServiceClient {
  readonly #http: HttpClient;
  readonly #clock: Clock;

  constructor(options: ServiceClientOptions) {
    this.#http = options.http;
    this.#clock = options.clock ?? systemClock;
  }

  async call(
    url: string,
    request: ServiceRequest,
    options: CallOptions,
  ): Promise<Outcome<ServiceResponse>> {
    const requestUrl = joinUrl(url, request.path);
    const outcome = await this.#http.exchange({
      method: request.method,
      url: requestUrl,
      connection: "new",
      headers: buildHeaders(request),
      body: request.body.length > 0 ? request.body : undefined,
    }, options);
    if (outcome.isErr()) return outcome;
    const { status, headers, body } = outcome.value;
    if (status === 503 && rejectionCode(outcome.value) !== undefined) {
      return responseFailure(outcome.value, {
        url: requestUrl,
        clock: this.#clock,
      });
    }
    return new Ok({ status, contentType: headers["content-type"], body });
  }
}

function buildHeaders(request: ServiceRequest): Record<string, string> {
  const headers: Record<string, string> = {
    "x-attempt-id": request.attemptId,
    "x-request-id": request.requestId,
  };
  if (request.contentType) headers["content-type"] = request.contentType;
  if (request.idempotencyKey) {
    headers["idempotency-key"] = request.idempotencyKey;
  }
  return headers;
}

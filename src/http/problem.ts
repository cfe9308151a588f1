/**
 * Failures as RFC 9457 problem documents.
 *
 * @module
 */

import { STATUS_CODES } from "node:http";
import type { Clock } from "../common/clock.ts";
import type { Failure, FailureCode } from "../common/verdict.ts";

const STATUS_BY_CODE: Readonly<Record<FailureCode, number>> = {
  "bad-request": 400,
  "unauthorized": 401,
  "forbidden": 403,
  "not-found": 404,
  "stale-version": 409,
  "body-too-large": 413,
  "rate-limited": 429,
  "overloaded": 503,
  "deadline-exceeded": 504,
  "no-target": 503,
  "target-refused": 503,
  "target-failed": 502,
  "stale-generation": 503,
  "connection-failed": 502,
  "log-unavailable": 503,
  "claim-held": 409,
  "already-ran": 409,
  "quarantined": 422,
  "shutting-down": 503,
  "cancelled": 499,
  "bad-answer": 502,
  "internal": 500,
};

/** A problem document and the HTTP fields that go with it. */
export interface Problem {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Renders a failure; `extra` members are added to the document. */
export function toProblem(
  failure: Failure,
  options: {
    readonly clock: Clock;
    readonly extra?: Readonly<Record<string, unknown>>;
  },
): Problem {
  const invalidDocument = failure.code === "bad-request" &&
    failure.faults !== undefined;
  const status = invalidDocument ? 422 : STATUS_BY_CODE[failure.code];
  const headers: Record<string, string> = {
    "content-type": "application/problem+json",
  };
  if (failure.retryAtWallMs !== undefined) {
    headers["retry-after"] = String(
      retryAfterS(failure.retryAtWallMs, options.clock),
    );
  }
  const body = {
    type: `urn:jackdawshift:problem:${failure.code}`,
    title: STATUS_CODES[status] ?? "Client closed request",
    status,
    detail: failure.message,
    code: failure.code,
    verdict: failure.verdict,
    ...(failure.currentVersion === undefined
      ? {}
      : { currentVersion: failure.currentVersion }),
    ...(failure.faults === undefined ? {} : { faults: failure.faults }),
    ...options.extra,
  };
  return { status, headers, body };
}

function retryAfterS(retryAtWallMs: number, clock: Clock): number {
  return Math.max(1, Math.ceil((retryAtWallMs - clock.wallMs()) / 1_000));
}

/**
 * Converts a failure to the form sent to callers: with a retry time, but no
 * names or addresses of targets.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { Failure, FailureCode } from "../common/verdict.ts";

/** Messages sent to callers, by failure code. */
const MESSAGES: Record<FailureCode, string> = {
  "bad-request": "a target rejected the request as malformed",
  "unauthorized": "a target requires credentials",
  "forbidden": "a target denied access",
  "not-found": "a target did not find the requested resource",
  "stale-version": "the request was based on an older version",
  "body-too-large": "a body exceeds the size limit",
  "rate-limited": "the targets are over their rate limit",
  "overloaded": "the targets are overloaded",
  "deadline-exceeded": "the request's deadline passed",
  "no-target": "no target is available for the request",
  "target-refused": "a target refused the request",
  "target-failed": "a target failed while running the request",
  "stale-generation": "a target was reloaded before it could run the request",
  "connection-failed": "the connection to a target failed",
  "log-unavailable": "the log is unavailable",
  "claim-held":
    "an earlier request with the same idempotency key may be running",
  "already-ran": "an earlier request with the same idempotency key ran",
  "quarantined":
    "the content is quarantined because targets failed while running it",
  "shutting-down": "a target is shutting down",
  "cancelled": "the caller cancelled the request",
  "bad-answer": "a target sent an incomplete or invalid answer",
  "internal": "the request failed",
};

/**
 * Returns the failure to send to the caller. The message and the faults are not
 * copied, since they may name targets; the journal keeps the details.
 */
export function failureForCaller(
  failure: Failure,
  options: { readonly clock: Clock; readonly defaultRetryAfterMs: number },
): Failure {
  const { verdict, code } = failure;
  return {
    verdict,
    code,
    message: MESSAGES[code] ?? MESSAGES.internal,
    retryAtWallMs: failure.retryAtWallMs ??
      Math.ceil(options.clock.wallMs() + options.defaultRetryAfterMs),
  };
}

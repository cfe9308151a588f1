/**
 * A failure as a caller may read it: with a time to come back, and without
 * the names and addresses of what stands behind the host.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { Failure, FailureCode } from "../common/verdict.ts";

/** What callers are told of failures that arose behind the host, by code. */
const MESSAGES: Record<FailureCode, string> = {
  "bad-request": "a target found the request malformed",
  "unauthorized": "a target asked for credentials",
  "forbidden": "a target forbade the request",
  "not-found": "a target does not know what was asked for",
  "stale-version": "the request was based on an older version",
  "body-too-large": "a body is larger than is allowed",
  "rate-limited": "the targets are past their rate",
  "overloaded": "the targets are overloaded",
  "deadline-exceeded": "the request's deadline passed",
  "no-target": "no target can take the request now",
  "target-refused": "a target refused the request",
  "target-failed": "a target failed while it ran the request",
  "stale-generation": "a target changed before it could run the request",
  "connection-failed": "the connection to a target failed",
  "log-unavailable": "the log is unavailable",
  "claim-held": "another try of the key may be running",
  "already-ran": "an earlier try of the key ran",
  "quarantined": "the content is held back since targets were lost to it",
  "shutting-down": "a target is leaving",
  "cancelled": "the caller cancelled the request",
  "bad-answer": "a target gave an answer that is not whole",
  "internal": "the request failed",
};

/**
 * Completes a failure for the caller; the journal keeps the details. Nothing
 * that was written behind the host is copied: neither its message nor its
 * faults.
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

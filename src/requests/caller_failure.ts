/**
 * A failure as a caller may read it: with a time to come back, and without
 * the names and addresses of what stands behind the host.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { Failure, FailureCode } from "../common/verdict.ts";

/** What callers are told of failures that arose behind the host. */
const MESSAGES: Partial<Record<FailureCode, string>> = {
  "connection-failed": "the connection to a target failed",
  "target-failed": "a target failed while it ran the request",
  "target-refused": "a target refused the request",
  "stale-generation": "a target changed before it could run the request",
  "bad-answer": "a target gave an answer that is not whole",
  "overloaded": "the targets are overloaded",
  "shutting-down": "a target is leaving",
  "internal": "the request failed",
};

/** Completes a failure for the caller; the journal keeps the details. */
export function failureForCaller(
  failure: Failure,
  options: { readonly clock: Clock; readonly comeBackAfterMs: number },
): Failure {
  const { target: _, ...shown } = failure;
  return {
    ...shown,
    message: MESSAGES[failure.code] ?? failure.message,
    retryAtWallMs: failure.retryAtWallMs ??
      Math.ceil(options.clock.wallMs() + options.comeBackAfterMs),
  };
}

/**
 * Execution status of a request: whether it may have run. Every failure
 * carries one, from the socket to the problem document sent to the caller.
 * Only requests that are known not to have run, or are idempotent, are retried.
 *
 * @module
 */

import { Err, type Result } from "ts-results-es";

/** Whether a finished request was executed. */
export type Verdict = "complete" | "not-run" | "may-have-run";

/** Stable error codes; part of the interface to callers and operators. */
export type FailureCode =
  | "bad-request"
  | "unauthorized"
  | "forbidden"
  | "not-found"
  | "stale-version"
  | "body-too-large"
  | "rate-limited"
  | "overloaded"
  | "deadline-exceeded"
  | "no-target"
  | "target-refused"
  | "target-failed"
  | "stale-generation"
  | "connection-failed"
  | "log-unavailable"
  | "claim-held"
  | "already-ran"
  | "quarantined"
  | "shutting-down"
  | "cancelled"
  | "bad-answer"
  | "internal";

/** Why a request or an internal call did not complete. */
export interface Failure {
  /** `not-run` guarantees that the request reached nothing that could execute it. */
  readonly verdict: Exclude<Verdict, "complete">;
  readonly code: FailureCode;
  /** One sentence that names the invalid value. */
  readonly message: string;
  /** Wall-clock time at which a retry may succeed, if known. */
  readonly retryAtWallMs?: number;
  /** The failed target, if a stage of a chain reported it. */
  readonly target?: string;
  /** The current version, if the request was based on an older one. */
  readonly currentVersion?: number;
  /** All validation errors of a rejected document. */
  readonly faults?: readonly Fault[];
}

/** Validation error in a document. */
export interface Fault {
  /** JSON Pointer to the invalid value. */
  readonly path: string;
  readonly message: string;
}

export type FailureDetails = Pick<
  Failure,
  "retryAtWallMs" | "target" | "currentVersion" | "faults"
>;

export type Outcome<T> = Result<T, Failure>;

/** Creates a failure of a request that is guaranteed not to have run. */
export function notRun(
  code: FailureCode,
  message: string,
  options: FailureDetails = {},
): Err<Failure> {
  return new Err({ verdict: "not-run", code, message, ...options });
}

/** Creates a failure of a request that may have run. */
export function mayHaveRun(
  code: FailureCode,
  message: string,
  options: FailureDetails = {},
): Err<Failure> {
  return new Err({ verdict: "may-have-run", code, message, ...options });
}

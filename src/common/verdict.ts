/**
 * The verdict on a request: whether it may have run. Every failure carries
 * one, from the socket where it arose to the problem document that the caller
 * reads, and only work known not to have run, or idempotent work, is retried.
 *
 * @module
 */

import { Err, type Result } from "ts-results-es";

/** What is known of a request that ended. */
export type Verdict = "complete" | "not-run" | "may-have-run";

/** Stable codes that callers and operators may rely on. */
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
  /** `not-run` is a promise: nothing that could act received the request. */
  readonly verdict: Exclude<Verdict, "complete">;
  readonly code: FailureCode;
  /** One sentence that names the value at fault. */
  readonly message: string;
  /** Wall-clock time at which a new try may succeed, if one is worth telling. */
  readonly retryAtWallMs?: number;
  /** The target at fault, where a stage of a chain named it. */
  readonly target?: string;
  /** The present version, where a request was based on an older one. */
  readonly currentVersion?: number;
  /** Each fault of a document that was refused whole. */
  readonly faults?: readonly Fault[];
}

/** One fault of a document, at a JSON Pointer. */
export interface Fault {
  readonly path: string;
  readonly message: string;
}

/** What a failure may carry besides its code and message. */
export type FailureDetails = Pick<
  Failure,
  "retryAtWallMs" | "target" | "currentVersion" | "faults"
>;

/** A value or the failure that took its place. */
export type Outcome<T> = Result<T, Failure>;

/** Fails with the promise that nothing ran. */
export function notRun(
  code: FailureCode,
  message: string,
  options: FailureDetails = {},
): Err<Failure> {
  return new Err({ verdict: "not-run", code, message, ...options });
}

/** Fails without knowing whether the request ran. */
export function mayHaveRun(
  code: FailureCode,
  message: string,
  options: FailureDetails = {},
): Err<Failure> {
  return new Err({ verdict: "may-have-run", code, message, ...options });
}

/**
 * Answers by which a target or the platform proves that it did nothing.
 * Anything else that is not a success may have run.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import {
  type FailureCode,
  type FailureDetails,
  mayHaveRun,
  notRun,
  type Outcome,
} from "../common/verdict.ts";
import type { BufferedResponse } from "./http_client.ts";

/** Agreed error words by status; only these prove that nothing started. */
const REJECTION_CODES: Readonly<
  Record<number, Readonly<Record<string, FailureCode>>>
> = {
  404: { "unknown-attempt": "not-found" },
  409: {
    "stale-generation": "stale-generation",
    "stale-fence": "target-refused",
  },
  413: { "body-too-large": "body-too-large" },
  429: { "rate-limited": "rate-limited" },
  503: {
    "leaving": "shutting-down",
    "overloaded": "overloaded",
    "loading": "target-refused",
    "unavailable": "overloaded",
  },
};

/** What an answer's JSON body says of an error. */
interface ErrorBody {
  readonly error?: string;
  readonly target?: string;
  readonly attemptId?: string;
}

function readErrorBody(body: Buffer): ErrorBody {
  try {
    const data: unknown = JSON.parse(body.toString("utf8"));
    const fields = Object(data) as Record<string, unknown>;
    const text = (name: keyof ErrorBody) => {
      const value = fields[name];
      return typeof value === "string" ? value : undefined;
    };
    return {
      error: text("error"),
      target: text("target"),
      attemptId: text("attemptId"),
    };
  } catch {
    return {};
  }
}

/** The code of a refusal that proves that nothing started, if it does. */
export function rejectionCode(
  response: BufferedResponse,
): FailureCode | undefined {
  const codes = REJECTION_CODES[response.status];
  if (!codes) return undefined;
  const { error } = readErrorBody(response.body);
  if (error === undefined || !Object.hasOwn(codes, error)) return undefined;
  return codes[error];
}

/**
 * The failure that an answer without success stands for. With `attemptId` a
 * refusal counts only when it names that attempt, as late ones do not.
 */
export function responseFailure<T>(
  response: BufferedResponse,
  options: {
    readonly url: string;
    readonly clock: Clock;
    readonly attemptId?: string;
  },
): Outcome<T> {
  const body = readErrorBody(response.body);
  const { error = "no error word", target } = body;
  const message = `${options.url}: status ${response.status}, ${error}`;
  const code = rejectionCode(response);
  const isOwnAttempt = options.attemptId === undefined ||
    options.attemptId === body.attemptId;
  if (code === undefined || !isOwnAttempt) {
    return mayHaveRun("target-failed", message, { target });
  }
  const details = { ...retryAt(response, options.clock), target };
  return notRun(code, message, details);
}

function retryAt(response: BufferedResponse, clock: Clock): FailureDetails {
  const retryAfterS = Number(response.headers["retry-after"]);
  if (!(retryAfterS >= 0)) return {};
  return { retryAtWallMs: clock.wallMs() + retryAfterS * 1_000 };
}

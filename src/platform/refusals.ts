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
import type { HttpAnswer } from "./http_client.ts";

/** Agreed error words by status; only these prove that nothing started. */
const CODE_OF_REFUSAL: Readonly<
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
}

function readErrorBody(body: Buffer): ErrorBody {
  try {
    const data: unknown = JSON.parse(body.toString("utf8"));
    const { error, target } = Object(data) as Record<string, unknown>;
    return {
      error: typeof error === "string" ? error : undefined,
      target: typeof target === "string" ? target : undefined,
    };
  } catch {
    return {};
  }
}

/** The code of a refusal that proves that nothing started, if it does. */
export function refusalCode(answer: HttpAnswer): FailureCode | undefined {
  const words = CODE_OF_REFUSAL[answer.status];
  if (!words) return undefined;
  const { error } = readErrorBody(answer.body);
  if (error === undefined || !Object.hasOwn(words, error)) return undefined;
  return words[error];
}

/** The failure that an answer without success stands for. */
export function failureOf<T>(
  answer: HttpAnswer,
  options: { readonly url: string; readonly clock: Clock },
): Outcome<T> {
  const { error = "no error word", target } = readErrorBody(answer.body);
  const message = `${options.url}: status ${answer.status}, ${error}`;
  const code = refusalCode(answer);
  if (code === undefined) {
    return mayHaveRun("target-failed", message, { target });
  }
  const details = { ...retryAt(answer, options.clock), target };
  return notRun(code, message, details);
}

function retryAt(answer: HttpAnswer, clock: Clock): FailureDetails {
  const waitS = Number(answer.headers["retry-after"]);
  if (!(waitS >= 0)) return {};
  return { retryAtWallMs: clock.wallMs() + waitS * 1_000 };
}

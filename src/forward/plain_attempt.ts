/**
 * The result of one send of a call to a plain service.
 *
 * @module
 */

import type { Exchange } from "./exchange.ts";
import { readResponseBody, responseHeaders } from "./response.ts";
import type { SendOutcome } from "./upstream.ts";

/** Result of one send. */
export type Attempt =
  | {
    readonly kind: "answer";
    readonly status: number;
    readonly headers: string[];
    readonly body: Buffer;
  }
  | {
    readonly kind: "not-run";
    readonly wasSent: boolean;
    readonly reason: string;
  }
  | { readonly kind: "may-have-run"; readonly reason: string };

export function toAttempt(
  { verdict, reason }: Extract<SendOutcome, { readonly kind: "failed" }>,
): Attempt {
  return verdict === "not-run"
    ? { kind: "not-run", wasSent: false, reason }
    : { kind: "may-have-run", reason };
}

/** Reads the body of a response whose head is valid; adds headers of this host. */
export async function readAnswer(
  outcome: Extract<SendOutcome, { readonly kind: "answer" }>,
  ownHeaders: readonly string[] = [],
): Promise<Attempt> {
  const { answer } = outcome;
  const body = await readResponseBody(outcome);
  if (body === undefined) {
    return { kind: "may-have-run", reason: "response truncated or too large" };
  }
  return {
    kind: "answer",
    status: answer.statusCode ?? 0,
    headers: [...responseHeaders(answer), ...ownHeaders],
    body,
  };
}

export function writeResponse(
  exchange: Exchange,
  answer: Extract<Attempt, { readonly kind: "answer" }>,
): void {
  const { status, headers, body } = answer;
  const framed = [...headers, "Content-Length", String(body.length)];
  exchange.answer(status, framed, body);
}

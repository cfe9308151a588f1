/**
 * Requests and raw answers for tests of verdicts.
 *
 * @module
 */

import type { Outcome, Verdict } from "../../common/verdict.ts";
import { EngineClient } from "../engine_client.ts";
import type { HttpClient } from "../http_client.ts";
import { LogClient } from "../log_client.ts";
import { ServiceClient } from "../service_client.ts";
import type { CallOptions, EngineToken } from "../types.ts";

const BODY_BYTES = 300_000;

/** Tokens that generations gave to their callers. */
export const receivedTokens: EngineToken[] = [];

/** Sends one request of some kind through its client. */
export type Send = (
  url: string,
  http: HttpClient,
  options: CallOptions & { readonly bodyBytes?: number },
) => Promise<Outcome<unknown>>;

/** The kinds of requests whose verdict matters. */
export const SENDS: Readonly<Record<string, Send>> = {
  call: (url, http, options) =>
    new ServiceClient({ http }).call(url, {
      attemptId: "a",
      requestId: "r",
      method: "POST",
      path: "/entries",
      body: Buffer.alloc(options.bodyBytes ?? BODY_BYTES, "x"),
      idempotencyKey: "k",
    }, options),
  append: (url, http, options) =>
    new LogClient({ baseUrl: url, http }).append("s", [
      { id: "r", data: "x".repeat(options.bodyBytes ?? BODY_BYTES) },
    ], options),
  generate: (url, http, options) =>
    new EngineClient({ http }).generate(url, {
      attemptId: "a",
      requestId: "r",
      model: "m",
      version: "v",
      chain: [],
      prompt: "x".repeat(options.bodyBytes ?? BODY_BYTES),
      generated: [],
      maxTokens: 2,
      priority: 5,
      deadlineWallMs: 0,
      cacheScope: "c",
    }, { ...options, onTokens: (tokens) => receivedTokens.push(...tokens) }),
};

const END = { attemptId: "a", tokenCount: 1, reason: "stop" };
const TOKEN = { attemptId: "a", index: 0, id: 1, text: "a", ran: "t:0-1@1" };
const TOKEN_EVENT = `event: token\ndata: ${JSON.stringify(TOKEN)}\n\n`;
const COMPLETE_EVENTS = `${TOKEN_EVENT}event: end\ndata: ${
  JSON.stringify(END)
}\n\n`;
/** Body of a whole answer to each kind. */
export const COMPLETE_BODY: Readonly<Record<string, string>> = {
  call: JSON.stringify({ run: 1 }),
  append: JSON.stringify({ offset: 0 }),
  generate: COMPLETE_EVENTS,
};

/** Answers to the requests of others. */
export const FOREIGN_BODY: Readonly<Record<string, string>> = {
  call: JSON.stringify({ run: "foreign" }),
  generate: COMPLETE_EVENTS.replaceAll(`"a"`, `"foreign"`),
};

/** An HTTP answer as it is on the wire. */
export function formatResponse(
  status: number,
  body: string,
  headers = "",
): string {
  return `HTTP/1.1 ${status} Status\r\ncontent-length: ${body.length}\r\n` +
    `${headers}\r\n${body}`;
}

/** An answer with an error word, for an attempt. */
export function formatErrorResponse(
  status: number,
  error?: string,
  attemptId = "a",
): string {
  const body = JSON.stringify({ error, attemptId });
  return formatResponse(status, error ? body : "busy");
}

/** The verdict that an outcome stands for. */
export function verdictOf(outcome: Outcome<unknown>): Verdict {
  return outcome.isOk() ? "complete" : outcome.error.verdict;
}

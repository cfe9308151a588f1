/**
 * The HTTP side of calls between hosts.
 *
 * @module
 */

import { Agent as HttpAgent } from "node:http";
import { Agent as HttpsAgent } from "node:https";
import got, { RequestError, TimeoutError } from "got";
import { Ok } from "ts-results-es";
import { mayHaveRun, notRun, type Outcome } from "../common/verdict.ts";

/** Header that names the sending host. */
export const PEER_NAME_HEADER = "x-jackdawshift-host";

const MAX_FREE_SOCKETS = 32;
const FREE_SOCKET_TIMEOUT_MS = 4_000;

/** System errors that arise before any byte of a request is sent. */
const CONNECT_ERRORS = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "EAI_AGAIN",
  "EADDRNOTAVAIL",
  "ERR_INVALID_URL",
]);
/** Phases of a request in which nothing has been sent. */
const CONNECT_PHASES = new Set(["lookup", "connect", "secureConnect"]);

/** Posts `body` as JSON and resolves with the JSON answer. */
export type PeerPost = (
  url: string,
  body: unknown,
  options: { readonly timeoutMs: number },
) => Promise<Outcome<unknown>>;

/** Makes a {@link PeerPost} that keeps connections open between calls. */
export function createHttpPost(
  options: { readonly selfName: string; readonly secret: string },
): PeerPost {
  const agentOptions = {
    keepAlive: true,
    maxFreeSockets: MAX_FREE_SOCKETS,
    timeout: FREE_SOCKET_TIMEOUT_MS,
  };
  const agent = {
    http: new HttpAgent(agentOptions),
    https: new HttpsAgent(agentOptions),
  };
  const headers = {
    authorization: `Bearer ${options.secret}`,
    [PEER_NAME_HEADER]: options.selfName,
    "user-agent": undefined,
    "accept-encoding": undefined,
  };
  return (url, body, { timeoutMs }) =>
    post(url, body, { agent, headers, timeoutMs });
}

async function post(
  url: string,
  body: unknown,
  options: {
    readonly agent: { http: HttpAgent; https: HttpsAgent };
    readonly headers: Record<string, string | undefined>;
    readonly timeoutMs: number;
  },
): Promise<Outcome<unknown>> {
  try {
    const response = await got.post(url, {
      json: body,
      agent: options.agent,
      headers: options.headers,
      timeout: { request: options.timeoutMs },
      retry: { limit: 0 },
      decompress: false,
      followRedirect: false,
      throwHttpErrors: false,
    });
    return parseResponse(url, response.statusCode, response.body);
  } catch (error) {
    return toFailure(url, error);
  }
}

function parseResponse(
  url: string,
  status: number,
  body: string,
): Outcome<unknown> {
  // The peer server refuses these before it hands a call over.
  if (status === 401 || status === 403) {
    return notRun("unauthorized", `${url} answered ${status}`);
  }
  if (status === 429 || status === 503) {
    return notRun("overloaded", `${url} answered ${status}`);
  }
  if (status !== 200) {
    return mayHaveRun("bad-answer", `${url} answered ${status}`);
  }
  try {
    return new Ok(JSON.parse(body));
  } catch {
    return mayHaveRun("bad-answer", `${url} did not answer in JSON`);
  }
}

function toFailure(url: string, error: unknown): Outcome<never> {
  const message = `${url}: ${error instanceof Error ? error.message : error}`;
  if (error instanceof TimeoutError) {
    return isBeforeSending(error)
      ? notRun("deadline-exceeded", message)
      : mayHaveRun("deadline-exceeded", message);
  }
  if (error instanceof RequestError && CONNECT_ERRORS.has(error.code)) {
    return notRun("connection-failed", message);
  }
  return mayHaveRun("connection-failed", message);
}

function isBeforeSending(error: TimeoutError): boolean {
  if (CONNECT_PHASES.has(error.event)) return true;
  const timings = error.timings;
  return timings !== undefined && timings.connect === undefined &&
    timings.upload === undefined;
}

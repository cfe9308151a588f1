/**
 * One send of a request to a target. The outcome says whether the target may
 * have run it: a send that never had a connection has not reached anybody.
 *
 * @module
 */

import { type IncomingMessage, request } from "node:http";
import type { Endpoint, RawHeaders } from "../ports/types.ts";
import type { UpstreamAgent } from "./upstream_agent.ts";

/** A connection takes a millisecond or two; a dead target's never opens. */
const CONNECT_TIMEOUT_MS = 300;

/** Options of a send. */
export interface SendOptions {
  readonly endpoint: Endpoint;
  readonly method: string;
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Buffer | undefined;
  /** A kept connection may be used; one that fails leaves the outcome unknown. */
  readonly mayReuse: boolean;
  /** Closes the connection when it aborts. */
  readonly signal: AbortSignal;
  readonly agent: UpstreamAgent;
}

/** How a send ended: with the head of an answer, or without one. */
export type SendOutcome =
  | {
    readonly kind: "answer";
    readonly answer: IncomingMessage;
    /**
     * Whether the connection failed. An answer without a length then looks
     * complete to Node.js, though its end is missing.
     */
    readonly hasFailed: () => boolean;
  }
  | {
    readonly kind: "failed";
    readonly verdict: "not-run" | "may-have-run";
    readonly reason: string;
  };

/** Sends a request and waits for the head of its answer. */
export function sendUpstream(options: SendOptions): Promise<SendOutcome> {
  return new Promise((resolve) => {
    const { endpoint, body, signal, agent } = options;
    if (signal.aborted) {
      resolve({ kind: "failed", verdict: "not-run", reason: "cancelled" });
      return;
    }
    let isConnected = false;
    let hasFailed = false;
    const outgoing = request({
      host: endpoint.ip,
      port: endpoint.port,
      method: options.method,
      path: options.path,
      headers: toHeaders(options),
      setHost: false,
      agent: options.mayReuse ? agent : false,
      ...(options.mayReuse ? {} : { createConnection: undefined }),
    });
    const onAbort = (): void => {
      outgoing.destroy(new Error("cancelled"));
    };
    const connectTimer = setTimeout(() => {
      if (!isConnected) outgoing.destroy(new Error("connection timed out"));
    }, CONNECT_TIMEOUT_MS);
    signal.addEventListener("abort", onAbort, { once: true });

    function fail(reason: string): void {
      const verdict = isConnected ? "may-have-run" : "not-run";
      resolve({ kind: "failed", verdict, reason });
    }
    outgoing.on("socket", (socket) => {
      socket.setNoDelay(true);
      if (!socket.connecting) isConnected = true;
      else socket.once("connect", () => isConnected = true);
    });
    outgoing.on("error", (error) => {
      hasFailed = true;
      fail(String(error.message));
    });
    outgoing.on("close", () => {
      clearTimeout(connectTimer);
      signal.removeEventListener("abort", onAbort);
      fail("connection closed before the answer");
    });
    outgoing.on("response", (answer) => {
      clearTimeout(connectTimer);
      // The reader of the body learns of failures by its events.
      answer.on("error", () => {});
      resolve({ kind: "answer", answer, hasFailed: () => hasFailed });
    });
    outgoing.end(body);
  });
}

function toHeaders(options: SendOptions): Record<string, string | string[]> {
  const headers: Record<string, string | string[]> = Object.create(null);
  const names = new Map<string, string>();
  for (let i = 0; i + 1 < options.headers.length; i += 2) {
    const lower = options.headers[i].toLowerCase();
    const name = names.get(lower) ?? options.headers[i];
    names.set(lower, name);
    const old = headers[name];
    const value = options.headers[i + 1];
    headers[name] = old === undefined ? value : [old, value].flat();
  }
  if (options.body !== undefined) {
    headers["Content-Length"] = String(options.body.length);
  }
  return headers;
}

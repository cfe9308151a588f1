/**
 * Sends a request to a target. The outcome tells whether the target may have run
 * it: without an established connection, it cannot have received the request.
 *
 * @module
 */

import { type IncomingMessage, request } from "node:http";
import type { Endpoint, RawHeaders } from "../ports/types.ts";
import type { KeepAliveAgent } from "../common/keep_alive_agent.ts";
import { limitResponseHead } from "../common/response_head_limit.ts";

/** Connections open within a millisecond or two; to a dead target, never. */
const CONNECT_TIMEOUT_MS = 300;

export interface SendOptions {
  readonly endpoint: Endpoint;
  readonly method: string;
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Buffer | undefined;
  /** Whether a kept-alive connection may be used; if it fails, the outcome is unknown. */
  readonly mayReuse: boolean;
  /** Closes the connection when it aborts. */
  readonly signal: AbortSignal;
  readonly agent: KeepAliveAgent;
  /** Local address of the connection; by default, the system's choice. */
  readonly localAddress?: string;
  /** Called when the request opens a connection of its own. */
  readonly onNewConnection?: () => void;
}

/** Outcome of a send: the head of a response, or a failure. */
export type SendOutcome =
  | {
    readonly kind: "answer";
    readonly answer: IncomingMessage;
    /**
     * Whether the connection failed before the response ended. Node.js reports a
     * truncated response without a length as complete in that case.
     */
    readonly hasFailed: () => boolean;
    readonly isNewConnection: boolean;
  }
  | {
    readonly kind: "failed";
    readonly verdict: "not-run" | "may-have-run";
    readonly reason: string;
  };

/** Sends a request and resolves with the head of its response. Never rejects. */
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
      localAddress: options.localAddress,
      agent: options.mayReuse ? agent : false,
      ...(options.mayReuse ? {} : { createConnection: undefined }),
    });
    limitResponseHead(outgoing);
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
      // A socket that failed at once, for lack of a descriptor, sends nothing.
      if (socket.destroyed) return;
      socket.setNoDelay(true);
      if (!socket.connecting) isConnected = true;
      else {
        options.onNewConnection?.();
        socket.once("connect", () => isConnected = true);
      }
    });
    outgoing.on("error", (error) => {
      hasFailed = true;
      fail(String(error.message));
    });
    outgoing.on("close", () => {
      clearTimeout(connectTimer);
      signal.removeEventListener("abort", onAbort);
      fail("connection closed before the response");
    });
    outgoing.on("response", (answer) => {
      clearTimeout(connectTimer);
      // Readers of the body detect failures by its other events.
      answer.on("error", () => {});
      if (isUnframed(answer)) {
        onEndAfterReset(answer, () => hasFailed = true);
      }
      resolve({
        kind: "answer",
        answer,
        hasFailed: () => hasFailed,
        isNewConnection: !outgoing.reusedSocket,
      });
    });
    outgoing.end(body);
  });
}

/** Whether the body is delimited only by the close of the connection. */
export function isUnframed({ headers }: IncomingMessage): boolean {
  return headers["content-length"] === undefined &&
    headers["transfer-encoding"] === undefined;
}

/**
 * Calls `listener` before a response ends whose connection its peer has reset.
 * Node.js reports an orderly end, and no error, if it reads the last bytes and the
 * reset together; by then, the connection has no peer address any more.
 */
function onEndAfterReset(answer: IncomingMessage, listener: () => void): void {
  const { socket } = answer;
  const onEnd = (): void => {
    if (socket.remoteAddress === undefined) listener();
  };
  socket.prependListener("end", onEnd);
  // The connection of a response without a body may be kept.
  answer.once("end", () => socket.off("end", onEnd));
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

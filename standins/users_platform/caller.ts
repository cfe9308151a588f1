/**
 * Test helper: a caller of the users' platform.
 *
 * @module
 */

import { type Agent, type IncomingMessage, request } from "node:http";
import { type Deployment, HOST_NAME, KEY } from "./deployment.ts";

let nextId = 0;

/** An answer. If `isWhole` is false, `body` is truncated. */
export interface Answer {
  readonly status: number;
  readonly headers: IncomingMessage["headers"];
  readonly body: string;
  readonly isWhole: boolean;
}

export interface CallOptions {
  readonly path: string;
  readonly method?: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  readonly key?: string;
  readonly id?: string;
  readonly signal?: AbortSignal;
  readonly agent?: Agent;
  /** Index of the host; the first by default. */
  readonly host?: number;
}

/** Calls a host of a deployment; resolves when the answer has ended or was cut. */
export function callHost(
  deployment: Deployment,
  options: CallOptions,
): Promise<Answer> {
  return new Promise((resolve, reject) => {
    const outgoing = request({
      host: "127.0.0.1",
      port: deployment.hosts[options.host ?? 0].ports.frontend,
      method: options.method ?? "POST",
      path: options.path,
      signal: options.signal,
      agent: options.agent ?? false,
      headers: {
        host: HOST_NAME,
        authorization: `Token ${options.key ?? KEY}`,
        "jackdawshift-attempt-id": options.id ?? `attempt-${++nextId}`,
        "jackdawshift-deadline-ms": "3000",
        "jackdawshift-token-usage": "100,20",
        ...options.headers,
      },
    });
    outgoing.on("error", reject);
    outgoing.on("response", (answer) => {
      let body = "";
      answer.on("data", (chunk) => body += chunk);
      answer.on("error", () => {});
      answer.on("close", () =>
        resolve({
          status: answer.statusCode ?? 0,
          headers: answer.headers,
          body,
          isWhole: answer.complete,
        }));
    });
    outgoing.end(options.body);
  });
}

/** Returns the ids of the events in a stream body, in order. */
export function eventIds(body: string): number[] {
  return [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
}

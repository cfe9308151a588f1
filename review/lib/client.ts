/**
 * A client of the platform, and the record of a case.
 *
 * @module
 */

import { type Agent, request } from "node:http";
import { appendFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import type { Host } from "./fleet.ts";
import { HOST, KEY } from "./platform.ts";

export interface Answer {
  readonly id: string;
  readonly host: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  readonly status: number | undefined;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  /** Whether the answer ended as HTTP says that a complete one ends. */
  readonly isComplete: boolean;
  readonly error: string | undefined;
}

export interface CallOptions {
  readonly host: Host;
  readonly path: string;
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly key?: string;
  readonly deadlineMs?: number;
  readonly agent?: Agent;
  readonly id?: string;
  readonly onEvent?: (count: number) => void;
}

let nextId = 0;

/** Sends one client attempt; resolves when its answer has ended. */
export function call(options: CallOptions): Promise<Answer> {
  const { host, path, method = "POST", body, key = KEY } = options;
  const id = options.id ?? `attempt-${process.pid}-${++nextId}`;
  const { deadlineMs = 20_000 } = options;
  const sentAtMs = performance.now();
  return new Promise((resolve) => {
    let text = "";
    let hasEnded = false;
    const finish = (
      rest: Pick<Answer, "status" | "headers" | "isComplete" | "error">,
    ): void => {
      if (hasEnded) return;
      hasEnded = true;
      clearTimeout(timer);
      const endedAtMs = performance.now();
      resolve({
        id,
        host: host.name,
        sentAtMs,
        endedAtMs,
        body: text,
        ...rest,
      });
    };
    const failed = (error: string): void =>
      finish({ status: undefined, headers: {}, isComplete: false, error });
    const outgoing = request({
      host: host.ip,
      port: host.frontendPort,
      method,
      path,
      agent: options.agent ?? false,
      headers: {
        host: HOST,
        authorization: `Token ${key}`,
        "jackdawshift-attempt-id": id,
        "jackdawshift-deadline-ms": String(deadlineMs),
        ...options.headers,
      },
    });
    const timer = setTimeout(() => {
      outgoing.destroy();
      failed("no answer within the time limit");
    }, deadlineMs + 1_000);
    outgoing.on("error", (error) => failed(error.message));
    outgoing.on("response", (answer) => {
      let error: string | undefined;
      answer.setEncoding("utf8");
      answer.on("data", (chunk: string) => {
        text += chunk;
        options.onEvent?.(eventIds(text).length);
      });
      answer.on("error", (cause) => error = cause.message);
      // Node.js reports a channel that is reset as an error of the request.
      outgoing.on("error", (cause) => error ??= cause.message);
      answer.on("close", () =>
        finish({
          status: answer.statusCode,
          headers: answer.headers,
          isComplete: answer.complete && error === undefined,
          error,
        }));
    });
    outgoing.end(body);
  });
}

/** Ids of the whole events in a stream's body. */
export function eventIds(body: string): number[] {
  return body.split("\n\n").slice(0, -1).flatMap((event) => {
    const id = /^id: (\d+)$/m.exec(event)?.[1];
    return id === undefined ? [] : [Number(id)];
  });
}

/** Writes what was sent, answered and run. */
export class CaseRecord {
  readonly #path: string;

  constructor(path: string) {
    this.#path = path;
    writeFileSync(path, "");
  }

  add(line: string): void {
    appendFileSync(this.#path, `${line}\n`);
  }
}

/** Whether the case plays its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

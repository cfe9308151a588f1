/**
 * Test fixture: callers of a host that is stopped on plan, and what each of them
 * got.
 *
 * @module
 */

import { Agent, request } from "node:http";
import { systemClock } from "../../src/common/clock.ts";
import { type Answer, callHost } from "./caller.ts";
import { type Deployment, HOST_NAME, KEY } from "./deployment.ts";

/** Time that callers wait, beyond what any stop takes. */
export const DEADLINE_MS = 20_000;

/**
 * How a request ended for its caller: `cut` if the connection broke after the
 * request had been passed on, `unread` if it broke before.
 */
export type StopEnd = "whole" | "refused" | "failed" | "cut" | "unread";

export interface StopCall {
  readonly id: string;
  /** Time of sending after the start of the stop; negative before it. */
  readonly sentMs: number;
  readonly durationMs: number;
  readonly end: StopEnd;
  readonly answer: Answer | undefined;
}

export interface StopCallsOptions {
  readonly deployment: Deployment;
  readonly path: string;
  /** Time for which requests are sent before the stop. */
  readonly beforeMs: number;
  readonly intervalMs?: number;
  /** Hosts that are stopped at once; the first is called. */
  readonly stopped?: readonly number[];
  /** Host to which a caller that was not served turns, once. */
  readonly nextHost?: number;
  /** Time between the head of a request and the end of its body. */
  readonly bodyDelayMs?: number;
}

/**
 * Stops hosts while the first of them gets requests, on new connections and on
 * kept ones in turn, until it has ended.
 */
export async function callThroughStop(
  options: StopCallsOptions,
): Promise<{ readonly calls: StopCall[]; readonly stopMs: number }> {
  const { deployment, stopped = [0] } = options;
  const agents = Array.from(
    { length: 150 },
    () => new Agent({ keepAlive: true, maxSockets: 1 }),
  );
  const pending: Promise<StopCall>[] = [];
  let stopAtMs = Infinity;
  let count = 0;
  const callOnce = async (): Promise<StopCall> => {
    const index = count++;
    const sentAtMs = performance.now();
    const id = `stop-${index}`;
    const agent = index % 2 === 0 ? undefined : agents[index % agents.length];
    let answer = await send(options, { id, agent }).catch(() => undefined);
    const { nextHost: host } = options;
    const hasNotRun = answer?.status === 503 ||
      (answer === undefined && !wasPassedOn(deployment, id));
    if (host !== undefined && hasNotRun) {
      const retryS = Number(answer?.headers["retry-after"] ?? 0);
      await systemClock.sleep(retryS * 1_000);
      answer = await send(options, { id: `${id}-again`, host })
        .catch(() => undefined);
    }
    const endedAtMs = performance.now();
    return {
      id,
      sentMs: sentAtMs - stopAtMs,
      durationMs: endedAtMs - sentAtMs,
      end: endOf(answer, wasPassedOn(deployment, id)),
      answer,
    };
  };
  const timer = setInterval(
    () => pending.push(callOnce()),
    options.intervalMs ?? 25,
  );
  await systemClock.sleep(options.beforeMs);
  stopAtMs = performance.now();
  await Promise.all(stopped.map((index) => deployment.hosts[index].stop()));
  const stopMs = performance.now() - stopAtMs;
  clearInterval(timer);
  const calls = await Promise.all(pending);
  for (const agent of agents) agent.destroy();
  return { calls, stopMs };
}

function send(
  { deployment, path, bodyDelayMs = 0 }: StopCallsOptions,
  { id, agent, host }: {
    readonly id: string;
    readonly agent?: Agent;
    readonly host?: number;
  },
): Promise<Answer> {
  const headers = { "jackdawshift-deadline-ms": String(DEADLINE_MS) };
  if (bodyDelayMs === 0) {
    return callHost(deployment, { path: path + id, id, agent, host, headers });
  }
  return new Promise((resolve, reject) => {
    const outgoing = request({
      host: "127.0.0.1",
      port: deployment.hosts[host ?? 0].ports.frontend,
      method: "POST",
      path: path + id,
      agent: agent ?? false,
      headers: {
        ...headers,
        host: HOST_NAME,
        authorization: `Token ${KEY}`,
        "jackdawshift-attempt-id": id,
        "content-length": "10",
      },
    });
    outgoing.on("error", reject);
    outgoing.on("response", (answer) => {
      answer.resume().on("error", () => {});
      answer.on("close", () =>
        resolve({
          status: answer.statusCode ?? 0,
          headers: answer.headers,
          body: "",
          isWhole: answer.complete,
        }));
    });
    outgoing.write("01234");
    setTimeout(() => outgoing.end("56789"), bodyDelayMs);
  });
}

function endOf(answer: Answer | undefined, wasPassedOn: boolean): StopEnd {
  if (answer === undefined) return wasPassedOn ? "cut" : "unread";
  if (!answer.isWhole) return "cut";
  if (answer.status === 503) return "refused";
  return answer.status === 200 ? "whole" : "failed";
}

function wasPassedOn({ servers }: Deployment, id: string): boolean {
  return servers.some(({ executions }) =>
    executions.some(({ requestId }) => requestId === id)
  );
}

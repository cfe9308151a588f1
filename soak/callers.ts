/**
 * Callers behind a balancer that asks hosts whether they are ready. They keep
 * connections until the host closes them, and some leave before the answer.
 *
 * @module
 */

import { Agent, get, type IncomingMessage, request } from "node:http";
import type { Random } from "../src/common/random.ts";
import {
  CUSTOMER_KEYS,
  DEADLINE_MS,
  HOST_NAME,
  UNKNOWN_KEY,
} from "./settings.ts";
import type { HostProcess } from "./host_process.ts";
import type { Attempt, RouteName } from "./types.ts";

/** Answers by which a host promises that the request did not run. */
const REJECT_STATUSES = new Set([400, 401, 404, 408, 413, 421, 429, 431, 503]);
/** Time between two questions of the balancer. */
const PROBE_INTERVAL_MS = 200;
/** Time between two requests of all callers together. */
const REQUEST_INTERVAL_MS = 30;
/** One caller in this many leaves early; one in as many has a key that nobody gave out. */
const REQUESTS_PER_ANOMALY = 12;
/** One in this many does not ask the balancer. */
const REQUESTS_PER_UNPROBED = 3;
/** A caller that leaves does so within this time. */
const MAX_DISCONNECT_DELAY_MS = 300;
const ROUTES: readonly RouteName[] = [
  "briefs",
  "slips",
  "briefs",
  "slips",
  "acks",
];

/** Options of the callers. */
export interface CallersOptions {
  readonly hosts: readonly HostProcess[];
  readonly random: Random;
}

/** Sends requests until told to stop, and keeps what came of them. */
export class Callers {
  readonly attempts: Attempt[] = [];
  readonly #options: CallersOptions;
  readonly #agents = new Map<HostProcess, Agent>();
  readonly #ready = new Set<HostProcess>();
  readonly #pending = new Set<Promise<void>>();
  #timers: NodeJS.Timeout[] = [];

  constructor(options: CallersOptions) {
    this.#options = options;
    for (const host of options.hosts) {
      this.#agents.set(host, new Agent({ keepAlive: true, maxSockets: 64 }));
    }
  }

  get readyHosts(): number {
    return this.#ready.size;
  }

  /** Begins to ask whether hosts are ready. */
  startProbing(): void {
    this.#timers.push(setInterval(() => {
      for (const host of this.#options.hosts) this.#probe(host);
    }, PROBE_INTERVAL_MS));
  }

  /** Begins to send requests. */
  start(): void {
    this.#timers.push(setInterval(() => this.#send(), REQUEST_INTERVAL_MS));
  }

  /** Sends no more; resolves when all requests have ended. */
  async stop(): Promise<void> {
    for (const timer of this.#timers) clearInterval(timer);
    this.#timers = [];
    await Promise.all(this.#pending);
    for (const agent of this.#agents.values()) agent.destroy();
  }

  #probe(host: HostProcess): void {
    const probe = get({
      host: host.ip,
      port: host.readinessPort,
      path: "/",
      agent: false,
      timeout: PROBE_INTERVAL_MS,
    }, (answer) => {
      answer.resume();
      if (answer.statusCode === 200) this.#ready.add(host);
      else this.#ready.delete(host);
    });
    probe.on("timeout", () => probe.destroy());
    probe.on("error", () => this.#ready.delete(host));
  }

  #send(): void {
    const { random } = this.#options;
    const ready = [...this.#ready];
    // Some callers use the connections that they have, ready host or not.
    const from = random() < 1 / REQUESTS_PER_UNPROBED
      ? this.#options.hosts.filter(({ isRunning }) => isRunning)
      : ready;
    if (from.length === 0) return;
    const host = from[Math.floor(random() * from.length)];
    const route = ROUTES[Math.floor(random() * ROUTES.length)];
    const isOdd = random() < 1 / REQUESTS_PER_ANOMALY;
    const keys = Object.keys(CUSTOMER_KEYS);
    const attempt: Attempt = {
      id: `soak-${this.attempts.length}`,
      route,
      key: isOdd ? "unknown" : keys[Math.floor(random() * keys.length)],
      host: host.name,
      startMs: performance.now(),
      endMs: undefined,
      status: undefined,
      isWhole: false,
      isNotExecuted: false,
      hasDisconnected: random() < 1 / REQUESTS_PER_ANOMALY,
      echoedId: undefined,
      signature: undefined,
      body: "",
    };
    this.attempts.push(attempt);
    const leaveAfterMs = attempt.hasDisconnected
      ? random() * MAX_DISCONNECT_DELAY_MS
      : Infinity;
    const pending = this.#call(host, attempt, leaveAfterMs).finally(() => {
      attempt.endMs = performance.now();
      this.#pending.delete(pending);
    });
    this.#pending.add(pending);
  }

  #call(
    host: HostProcess,
    attempt: Attempt,
    leaveAfterMs: number,
  ): Promise<void> {
    return new Promise((resolve) => {
      const outgoing = request({
        host: host.ip,
        port: host.frontendPort,
        method: "POST",
        path: `/${attempt.route}/1`,
        agent: this.#agents.get(host),
        headers: {
          host: HOST_NAME,
          authorization: `Token ${CUSTOMER_KEYS[attempt.key] ?? UNKNOWN_KEY}`,
          "jackdawshift-attempt-id": attempt.id,
          "jackdawshift-deadline-ms": String(DEADLINE_MS),
          "jackdawshift-token-usage": "100,20",
        },
      }, (answer) => recordAnswer(answer, attempt, resolve));
      // A host that is paused for longer than the deadline is left, like by real callers.
      const waitMs = Math.min(leaveAfterMs, 2 * DEADLINE_MS);
      const timer = setTimeout(() => {
        attempt.hasDisconnected = true;
        outgoing.destroy();
      }, waitMs);
      outgoing.on("error", () => resolve());
      outgoing.on("close", () => {
        clearTimeout(timer);
        resolve();
      });
      outgoing.end("a body");
    });
  }
}

function recordAnswer(
  answer: IncomingMessage,
  attempt: Attempt,
  onEnd: () => void,
): void {
  attempt.status = answer.statusCode;
  attempt.isNotExecuted = REJECT_STATUSES.has(answer.statusCode ?? 0);
  attempt.echoedId = headerOf(answer, "jackdawshift-attempt-id");
  attempt.signature = headerOf(answer, "jackdawshift-server-signature");
  answer.on("data", (chunk) => attempt.body += chunk);
  answer.on("error", () => {});
  answer.on("close", () => {
    attempt.isWhole = answer.complete;
    onEnd();
  });
}

function headerOf(answer: IncomingMessage, name: string): string | undefined {
  const value = answer.headers[name];
  return typeof value === "string" ? value : undefined;
}

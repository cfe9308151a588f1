/**
 * Simulates callers behind a load balancer that probes the readiness of hosts.
 * Connections are kept until the host closes them, and some callers disconnect
 * before the answer.
 *
 * @module
 */

import { Agent, get, type IncomingMessage, request } from "node:http";
import type { Random } from "../src/common/random.ts";
import {
  BURST_ROUTE,
  CRASHING_PART,
  CRASHING_TEXT,
  CUSTOMER_KEYS,
  DEADLINE_MS,
  HOST_NAME,
  SHARED_PART,
  UNKNOWN_KEY,
  URGENT_ROUTE,
} from "./settings.ts";
import type { HostProcess } from "./host_process.ts";
import type { Attempt, RouteName } from "./types.ts";

/** Statuses that guarantee that the request was not executed. */
const REJECT_STATUSES = new Set([400, 401, 404, 408, 413, 421, 429, 431, 503]);
const PROBE_INTERVAL_MS = 200;
/** Interval between requests of all callers together. */
const REQUEST_INTERVAL_MS = 30;
/** One request in this many disconnects early; one in as many has an unknown key. */
const REQUESTS_PER_ANOMALY = 12;
/** One request in this many ignores the readiness probes. */
const REQUESTS_PER_UNPROBED = 3;
const MAX_DISCONNECT_DELAY_MS = 300;
/** Interval between requests with the same crashing content. */
const CRASHING_INTERVAL_MS = 250;
/** Connections to one host; a burst to a paused host takes over a hundred. */
const MAX_SOCKETS = 512;
/** One request of a burst in this many is urgent, so that enough are compared. */
const REQUESTS_PER_URGENT = 12;
const CONTENT = "a body";
const PROMPT_TOKENS = 100;
const ROUTES: readonly RouteName[] = [
  "briefs",
  "slips",
  "briefs",
  "slips",
  "acks",
];

interface AttemptOptions {
  readonly host: HostProcess;
  readonly route: RouteName;
  readonly content: string;
  readonly crashingPart?: string;
  readonly key?: string;
  readonly hasDisconnected?: boolean;
}

export interface CallersOptions {
  readonly hosts: readonly HostProcess[];
  readonly random: Random;
  /** Whether requests name the parts of their prompts. */
  readonly sendsPromptParts?: boolean;
}

/** Sends requests until `stop` is called and records their outcome. */
export class Callers {
  readonly attempts: Attempt[] = [];
  readonly #options: CallersOptions;
  readonly #agents = new Map<HostProcess, Agent>();
  readonly #ready = new Set<HostProcess>();
  readonly #pending = new Set<Promise<void>>();
  #timers: NodeJS.Timeout[] = [];
  #crashing: NodeJS.Timeout[] = [];
  #promptTokens = PROMPT_TOKENS;

  constructor(options: CallersOptions) {
    this.#options = options;
    for (const host of options.hosts) {
      this.#agents.set(
        host,
        new Agent({ keepAlive: true, maxSockets: MAX_SOCKETS }),
      );
    }
  }

  get readyHosts(): number {
    return this.#ready.size;
  }

  startProbing(): void {
    this.#timers.push(setInterval(() => {
      for (const host of this.#options.hosts) this.#probe(host);
    }, PROBE_INTERVAL_MS));
  }

  start(): void {
    this.#timers.push(setInterval(() => this.#send(), REQUEST_INTERVAL_MS));
  }

  /** Sends a content that ends its servers, until `stopCrashing` or `stop`. */
  startCrashing(name: string, route: RouteName): void {
    const content = `${CRASHING_TEXT}, ${name}`;
    this.#crashing.push(setInterval(() => {
      const host = this.#pickHost();
      if (host !== undefined) this.#startAttempt({ host, route, content });
    }, CRASHING_INTERVAL_MS));
  }

  /**
   * Sends prompts with a part that ends their servers, no two alike, until
   * `stopCrashing` or `stop`.
   */
  startCrashingPart(random: Random): void {
    let prompts = 0;
    this.#crashing.push(setInterval(() => {
      const host = this.#pickHost(random);
      if (host === undefined) return;
      this.#startAttempt({
        host,
        route: "briefs",
        content: `prompt ${++prompts}`,
        crashingPart: CRASHING_PART,
      });
    }, CRASHING_INTERVAL_MS));
  }

  /** Until disposed, also sends the burst route, and all prompts are as long. */
  startBurst({ intervalMs, promptTokens, random }: {
    readonly intervalMs: number;
    readonly promptTokens: number;
    readonly random: Random;
  }): { dispose(): void } {
    let requests = 0;
    const timer = setInterval(() => {
      const host = this.#pickHost(random);
      if (host === undefined) return;
      const isUrgent = ++requests % REQUESTS_PER_URGENT === 0;
      const route = isUrgent ? URGENT_ROUTE : BURST_ROUTE;
      this.#startAttempt({ host, route, content: CONTENT });
    }, intervalMs);
    this.#timers.push(timer);
    this.#promptTokens = promptTokens;
    return {
      dispose: () => {
        clearInterval(timer);
        this.#promptTokens = PROMPT_TOKENS;
      },
    };
  }

  stopCrashing(): void {
    for (const timer of this.#crashing) clearInterval(timer);
    this.#crashing = [];
  }

  /** Stops sending; resolves when all pending requests have ended. */
  async stop(): Promise<void> {
    this.stopCrashing();
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
      if (answer.statusCode === 200) {
        this.#ready.add(host);
        host.confirmReady();
      } else this.#ready.delete(host);
    });
    probe.on("timeout", () => probe.destroy());
    probe.on("error", () => this.#ready.delete(host));
  }

  #send(): void {
    const { random } = this.#options;
    const host = this.#pickHost();
    if (host === undefined) return;
    const route = ROUTES[Math.floor(random() * ROUTES.length)];
    const hasUnknownKey = random() < 1 / REQUESTS_PER_ANOMALY;
    const keys = Object.keys(CUSTOMER_KEYS);
    this.#startAttempt({
      host,
      route,
      content: CONTENT,
      key: hasUnknownKey ? "unknown" : keys[Math.floor(random() * keys.length)],
      hasDisconnected: random() < 1 / REQUESTS_PER_ANOMALY,
    });
  }

  #pickHost(random = this.#options.random): HostProcess | undefined {
    const ready = [...this.#ready];
    // Callers with open connections may use them although the host is not ready.
    const candidates = random() < 1 / REQUESTS_PER_UNPROBED
      ? this.#options.hosts.filter(({ isRunning }) => isRunning)
      : ready;
    return candidates[Math.floor(random() * candidates.length)];
  }

  #startAttempt(options: AttemptOptions): void {
    const { host, route, content, crashingPart } = options;
    const { key = "first", hasDisconnected = false } = options;
    const { random } = this.#options;
    const attempt: Attempt = {
      id: `soak-${this.attempts.length}`,
      route,
      key,
      host: host.name,
      content,
      crashingPart,
      startMs: performance.now(),
      endMs: undefined,
      status: undefined,
      isWhole: false,
      isNotExecuted: false,
      hasDisconnected,
      echoedId: undefined,
      signature: undefined,
      body: "",
    };
    this.attempts.push(attempt);
    const disconnectAfterMs = attempt.hasDisconnected
      ? random() * MAX_DISCONNECT_DELAY_MS
      : Infinity;
    const pending = this.#call(host, attempt, disconnectAfterMs).finally(() => {
      attempt.endMs = performance.now();
      this.#pending.delete(pending);
    });
    this.#pending.add(pending);
  }

  #call(
    host: HostProcess,
    attempt: Attempt,
    disconnectAfterMs: number,
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
          "jackdawshift-token-usage": `${this.#promptTokens},20`,
          ...(this.#options.sendsPromptParts === true
            ? { "jackdawshift-prefix-hash": promptParts(attempt) }
            : {}),
        },
      }, (answer) => recordAnswer(answer, attempt, resolve));
      // Like real callers, time out on a host that is paused well past the deadline.
      const timeoutMs = Math.min(disconnectAfterMs, 2 * DEADLINE_MS);
      const timer = setTimeout(() => {
        attempt.hasDisconnected = true;
        outgoing.destroy();
      }, timeoutMs);
      outgoing.on("error", () => resolve());
      outgoing.on("close", () => {
        clearTimeout(timer);
        resolve();
      });
      outgoing.end(attempt.content);
    });
  }
}

function promptParts({ id, crashingPart }: Attempt): string {
  const parts = [SHARED_PART, crashingPart, id.replace(/\D/g, "")];
  return parts.filter((part) => part !== undefined)
    .map((part) => `${part}:40`).join();
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
  attempt.retryAfter = headerOf(answer, "retry-after");
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

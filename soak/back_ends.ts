/**
 * Runs the store and the servers of a soak, each behind a proxy, and writes the
 * target records of the servers to the store.
 *
 * @module
 */

import {
  defaultConfig,
  MODEL_SERVICE,
  PLAIN_SERVICE,
} from "../standins/users_platform/deployment.ts";
import { ModelServer } from "../standins/users_platform/model_server.ts";
import { StoreStandin } from "../standins/users_platform/store_standin.ts";
import { CONFIG_TOPIC, TARGET_TOPIC } from "../platform/store_client.ts";
import { CLOSING_MS } from "../standins/users_platform/server_life.ts";
import type { DrawnEndings } from "./endings.ts";
import { LoopbackProxy } from "../standins/loopback_proxy.ts";
import {
  BOUNDS,
  BURST_ROUTE,
  CRASH_RESTART_MS,
  CRASHING_PART,
  CRASHING_TEXT,
  CUSTOMER_KEYS,
  DOMAINS,
  MODEL_SERVER_COUNT,
  PLAIN_SERVER_COUNT,
  URGENT_ROUTE,
} from "./settings.ts";
import type { DrawnLimit } from "./request_limits.ts";
import type { Execution, History, Interval, LimitedServer } from "./types.ts";

/** Interval at which servers rewrite their target records. */
const HEARTBEAT_MS = 500;
/** The store removes a record that was not written for three heartbeats. */
const LAPSE_MS = 3 * HEARTBEAT_MS;
const EVENT_GAP_MS = 10;

/** A server and the proxy in front of it. */
export interface BackEnd {
  readonly server: ModelServer;
  readonly proxy: LoopbackProxy;
  /** Set from the drain notice until registered again; suspends its heartbeat. */
  absence: "draining" | "removed" | undefined;
}

/** The store and the servers that the hosts connect to. */
export class BackEnds {
  readonly store = new StoreStandin();
  readonly servers: BackEnd[] = [];
  readonly revocations: Interval[] = [];
  readonly absences: (Interval & { readonly serverId: string })[] = [];
  readonly limits: LimitedServer[] = [];
  /** Ids of servers that were replaced, whose records have lapsed. */
  readonly #lapsedIds = new Set<string>();
  #storeProxy: LoopbackProxy | undefined;
  #heartbeat: NodeJS.Timeout | undefined;
  #version = 1;
  #config: Record<string, unknown> = {};
  #revokedAtMs: number | undefined;

  async start(endings: DrawnEndings): Promise<void> {
    await this.store.listen();
    this.store.era = 1;
    this.#storeProxy = new LoopbackProxy(this.store.address);
    await this.#storeProxy.listen();
    for (let i = 0; i < MODEL_SERVER_COUNT + PLAIN_SERVER_COUNT; i++) {
      const isModel = i < MODEL_SERVER_COUNT;
      const server = new ModelServer({
        id: `${isModel ? "model" : "plain"}-${i}`,
        service: isModel ? MODEL_SERVICE : PLAIN_SERVICE,
        domain: DOMAINS[i % DOMAINS.length],
        ...(isModel
          ? { kind: "small", events: BOUNDS.events, eventGapMs: EVENT_GAP_MS }
          : {}),
      });
      await server.listen();
      const proxy = new LoopbackProxy(server.address);
      await proxy.listen();
      server.crashingText = CRASHING_TEXT;
      server.crashingPromptPart = CRASHING_PART;
      server.crashAfterEvents = endings.crashAfterEvents;
      server.life.ending = endings.ending;
      server.life.restartMs = CRASH_RESTART_MS;
      const backEnd: BackEnd = { server, proxy, absence: undefined };
      server.life.onListeningChange = (isListening) =>
        isListening ? this.#handleStart(backEnd) : this.#handleEnd(backEnd);
      this.servers.push(backEnd);
    }
    this.writeConfig();
    this.#register();
    this.#heartbeat = setInterval(() => this.#register(), HEARTBEAT_MS);
  }

  get storeProxy(): LoopbackProxy {
    if (this.#storeProxy === undefined) throw new Error("store not started");
    return this.#storeProxy;
  }

  get isModelPlaced(): boolean {
    return this.servers.slice(0, MODEL_SERVER_COUNT).every(({ server }) =>
      server.span !== undefined
    );
  }

  get activeStreams(): number {
    return this.servers.reduce(
      (sum, { server }) => sum + server.activeStreams,
      0,
    );
  }

  get executions(): Execution[] {
    return this.servers.flatMap(({ server }) =>
      server.executions.map(({ requestId, serverId, atMs }) => ({
        attemptId: requestId,
        serverId,
        atMs,
      }))
    );
  }

  /** What the store and the servers have seen of the run. */
  observations(
    { otherProgram }: { readonly otherProgram?: string } = {},
  ): Pick<
    History,
    | "absences"
    | "executions"
    | "invalidCalls"
    | "limits"
    | "orders"
    | "revocations"
  > {
    const { absences, executions, limits, revocations } = this;
    const servers = this.servers.map(({ server }) => server);
    return {
      absences,
      executions,
      limits,
      revocations,
      orders: servers.flatMap(({ id, orders }) =>
        orders.map((order) => ({ serverId: id, order }))
      ),
      // Those of another build are known, and look the same.
      invalidCalls: otherProgram === undefined
        ? [this.store, ...servers].flatMap(({ invalidCalls }) => invalidCalls)
        : [],
    };
  }

  /** Lets a server name a limit for its requests until the end of the run. */
  limitRequests({ index, limitPerS }: DrawnLimit): void {
    const { server } = this.servers[index];
    server.limitPerS = limitPerS;
    this.limits.push({
      serverId: server.id,
      limitPerS,
      startMs: performance.now(),
      arrivedAtMs: server.arrivedAtMs,
      endedAtMs: server.life.endedAtMs,
    });
  }

  /** Writes the configuration with a new version. */
  writeConfig(): void {
    const keys = Object.entries(CUSTOMER_KEYS).filter(([name]) =>
      name !== "second" || this.#revokedAtMs === undefined
    );
    const config = defaultConfig(this.#version++);
    const routes = config.routes as Record<string, unknown>[];
    const urgent = routes.find(({ name }) => name === URGENT_ROUTE);
    this.#config = {
      ...config,
      routes: [...routes, {
        ...urgent,
        name: BURST_ROUTE,
        "path-prefix": `/${BURST_ROUTE}/`,
        priority: Number(urgent?.priority) + 1,
      }],
      tenants: keys.map(([name, key]) => ({
        name,
        "api-keys": [key],
        priority: 1,
      })),
    };
    this.store.put(CONFIG_TOPIC, "config", this.#config);
  }

  /** Writes again what the operator and the store itself had written. */
  rewrite(): void {
    this.store.put(CONFIG_TOPIC, "config", this.#config);
    for (const id of this.#lapsedIds) {
      this.store.put(TARGET_TOPIC, id, undefined);
    }
    for (const backEnd of this.servers) {
      if (backEnd.absence === "draining") this.#putDraining(backEnd);
      else if (backEnd.absence === "removed") {
        this.store.put(TARGET_TOPIC, backEnd.server.id, undefined);
      }
    }
  }

  revokeKey(): void {
    if (this.#revokedAtMs !== undefined) return;
    this.#revokedAtMs = performance.now();
    this.writeConfig();
  }

  restoreKey(): void {
    if (this.#revokedAtMs === undefined) return;
    const startMs = this.#revokedAtMs;
    this.#revokedAtMs = undefined;
    this.revocations.push({ startMs, endMs: performance.now() });
    this.writeConfig();
  }

  /** Marks a server as draining, removes it from the store and registers it again. */
  async deregisterFor(backEnd: BackEnd, absentMs: number): Promise<void> {
    if (backEnd.absence !== undefined) return;
    const { server } = backEnd;
    const { id } = server;
    const startMs = performance.now();
    this.#putDraining(backEnd);
    backEnd.absence = "draining";
    await sleep(absentMs / 3);
    backEnd.absence = "removed";
    this.store.put(TARGET_TOPIC, id, undefined);
    await sleep(absentMs * 2 / 3);
    backEnd.absence = undefined;
    const endMs = performance.now();
    this.absences.push({ startMs, endMs, serverId: id });
    this.#put(backEnd);
  }

  dispose(): void {
    clearInterval(this.#heartbeat);
    for (const { server, proxy } of this.servers) {
      proxy.dispose();
      server.close();
    }
    this.#storeProxy?.dispose();
    this.store.close();
  }

  #handleEnd({ server, proxy }: BackEnd): void {
    const { id, life: { ending } } = server;
    if (ending === "refuses") proxy.refuse();
    else if (ending !== "silent") proxy.reset();
    if (ending === "closes-late") {
      setTimeout(() => {
        if (!server.life.isRunning) proxy.refuse();
      }, CLOSING_MS).unref();
    }
    // The record of a server that is replaced lapses.
    setTimeout(() => {
      if (server.id === id) return;
      this.#lapsedIds.add(id);
      this.store.put(TARGET_TOPIC, id, undefined);
    }, LAPSE_MS).unref();
  }

  #handleStart({ server, proxy }: BackEnd): void {
    const { ending } = server.life;
    if (ending === "refuses" || ending === "closes-late") proxy.accept();
    if (ending === "silent") proxy.reset();
  }

  #register(): void {
    for (const backEnd of this.servers) {
      const { absence, server } = backEnd;
      if (absence === undefined && server.life.isRunning) this.#put(backEnd);
    }
  }

  #putDraining(backEnd: BackEnd): void {
    this.#put(backEnd, { state: "draining" });
  }

  #put(
    { server, proxy }: BackEnd,
    overrides: Record<string, unknown> = {},
  ): void {
    this.store.put(TARGET_TOPIC, server.id, {
      ...server.entry,
      address: proxy.address,
      ...overrides,
    });
  }
}

function sleep(waitMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, waitMs));
}

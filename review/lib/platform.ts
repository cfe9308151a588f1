/**
 * The platform's side of a case: the store, the operator's configuration and the
 * servers with their entries.
 *
 * @module
 */

import { StoreStandin } from "../../standins/users_platform/store_standin.ts";
import { LoopbackProxy } from "../../standins/loopback_proxy.ts";
import { ReviewServer, type ServerOptions } from "./server.ts";
import { sleep } from "./fleet.ts";

export const MODEL = "escriba";
export const DESK = "mostrador";
export const HOST = "ficu95.example";
export const KEY = "n2ctnfzs989anu6wsjnb";
export const TENANT = "hule930";
const HEARTBEAT_MS = 1_200;
const LAYERS = 80;

export class Platform {
  readonly store = new StoreStandin();
  readonly servers: ReviewServer[] = [];
  readonly proxies = new Map<ReviewServer, LoopbackProxy>();
  /** Between the hosts and the store. */
  storeProxy: LoopbackProxy | undefined;
  #heartbeat: NodeJS.Timeout | undefined;
  #version = 0;
  /** Whether the store accepts the writes of servers. */
  isStoreUp = true;

  async start(
    servers: readonly ServerOptions[],
    { hasProxies = false }: { readonly hasProxies?: boolean } = {},
  ): Promise<void> {
    this.store.era = 1;
    await this.store.listen();
    this.storeProxy = new LoopbackProxy(this.store.address);
    await this.storeProxy.listen();
    for (const options of servers) await this.addServer(options, hasProxies);
    this.#heartbeat = setInterval(() => {
      for (const server of this.servers) this.register(server);
    }, HEARTBEAT_MS);
  }

  async addServer(
    options: ServerOptions,
    hasProxy = false,
  ): Promise<ReviewServer> {
    const server = new ReviewServer(options);
    await server.listen();
    if (hasProxy) {
      const proxy = new LoopbackProxy(server.address);
      await proxy.listen();
      this.proxies.set(server, proxy);
    }
    this.servers.push(server);
    server.onCrash = () => {
      // Three heartbeat intervals of silence.
      setTimeout(() => {
        if (!server.isUp) {
          this.store.put("keyed.servers", server.id, undefined);
        }
      }, 3 * HEARTBEAT_MS).unref();
    };
    this.register(server);
    return server;
  }

  get storeAddress(): string {
    if (this.storeProxy === undefined) throw new Error("not started");
    return this.storeProxy.address;
  }

  register(server: ReviewServer): void {
    if (!server.isUp || !server.isRegistered || !this.isStoreUp) return;
    const address = this.proxies.get(server)?.address ?? server.address;
    this.store.put("keyed.servers", server.id, { ...server.entry, address });
  }

  /** Writes a configuration; returns when, which is the moment of the ack. */
  configure(routes: readonly Record<string, unknown>[]): number {
    this.#version += 3;
    this.store.put("keyed.op", "config", {
      version: this.#version,
      routes,
      services: [
        {
          name: MODEL,
          "health-path": "/healthz",
          "max-conns": 1_078,
          engine: {
            layers: LAYERS,
            "layer-mb": 1_750,
            "kv-token-bytes": 918_000,
            "activation-bytes": 45_900,
            "cross-zone-mbps": 26_000,
            "link-mbps": 400_000,
            slots: 192,
            step_ms: 1.02,
            per_seq_ms: 0.00714,
            context_per_k: 0.00956,
            read_per_s: 105_000,
            chunk: 512,
            loads_at_once: 4,
            report_lag_ms: 200,
            usual: { prompt: 760, answer: 170 },
            models: [{ name: "m", "load-time-s": 1 }],
            kinds: [{
              name: "l40s",
              "size-mb": 43_200,
              pace: 5.6,
              "read-factor": 2.7,
            }],
          },
        },
        { name: DESK, "health-path": "/healthz", "max-conns": 110 },
      ],
      limits: {
        "max-header-bytes": 16_384,
        "max-body-bytes": 1_048_576,
        "header-timeout-ms": 3_000,
        "idle-timeout-ms": 5_000,
      },
      tenants: [{ name: TENANT, "api-keys": [KEY], priority: 1 }],
    });
    return performance.now();
  }

  /** Waits until every model server holds layers, and hosts have read so. */
  async waitUntilPlaced(timeoutMs = 15_000): Promise<boolean> {
    const endMs = Date.now() + timeoutMs;
    const models = this.servers.filter(({ options }) =>
      options.kind !== undefined
    );
    while (models.some(({ span }) => span === undefined)) {
      if (Date.now() > endMs) return false;
      await sleep(50);
    }
    for (const server of models) this.register(server);
    await sleep(1_500);
    return true;
  }

  dispose(): void {
    clearInterval(this.#heartbeat);
    for (const proxy of this.proxies.values()) proxy.dispose();
    for (const server of this.servers) server.close();
    this.storeProxy?.dispose();
    this.store.close();
  }
}

export const ROUTES = {
  stream: {
    name: "lineage-brief",
    host: HOST,
    "path-prefix": "/lohu930/",
    "route-kind": "streaming",
    service: MODEL,
    "timeout-ms": 20_000,
    "latency-goal-ms": 500,
    "target-gap-ms": 200,
    "max-attempts": 2,
    priority: 1,
    sticky: true,
    public: false,
  },
  safe: {
    name: "entry-ack",
    host: HOST,
    "path-prefix": "/acks/",
    "route-kind": "idempotent",
    service: DESK,
    "timeout-ms": 800,
    "latency-goal-ms": 100,
    "max-attempts": 2,
    priority: 2,
    public: false,
  },
  unsafe: {
    name: "gate-slip",
    host: HOST,
    "path-prefix": "/puxa403/",
    "route-kind": "non_idempotent",
    service: DESK,
    "timeout-ms": 800,
    "latency-goal-ms": 100,
    "max-attempts": 1,
    priority: 2,
    public: false,
  },
} as const;

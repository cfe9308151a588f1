/**
 * A small deployment of the users' platform in one process: the store, model
 * servers, plain servers and entry hosts, with a configuration for them.
 *
 * @module
 */

import { headerCodec } from "../../platform/header_codec.ts";
import { recordDecoder } from "../../platform/record_decoder.ts";
import {
  CONFIG_TOPIC,
  StoreClient,
  TARGET_TOPIC,
} from "../../platform/store_client.ts";
import { TargetControl } from "../../platform/target_control.ts";
import { parseEndpoint } from "../../platform/settings.ts";
import type { Clock } from "../../src/common/clock.ts";
import { systemClock } from "../../src/common/clock.ts";
import { type ILog, silentLog } from "../../src/common/logging.ts";
import { EntryHost } from "../../src/entry/entry_host.ts";
import type { HostSettings } from "../../src/ports/types.ts";
import { ModelServer, type ModelServerOptions } from "./model_server.ts";
import { StoreStandin } from "./store_standin.ts";

export const MODEL_SERVICE = "drafting";
export const PLAIN_SERVICE = "desk";
export const HOST_NAME = "shows.example";
export const KEY = "key-of-breeders";
export const CUSTOMER = "breeders";

const LAYER_COUNT = 8;

/** Options of a deployment. */
export interface DeploymentOptions {
  /** Servers beside the store; they register when they have started. */
  readonly servers?: readonly ModelServerOptions[];
  readonly hosts?: number;
  readonly log?: ILog;
  readonly clock?: Clock;
  readonly bounds?: Partial<HostSettings["bounds"]>;
}

/** A running deployment. */
export class Deployment {
  readonly store = new StoreStandin();
  readonly servers: ModelServer[] = [];
  readonly hosts: EntryHost[] = [];
  readonly #options: DeploymentOptions;
  readonly #owned: { dispose(): void }[] = [];
  #version = 1;

  constructor(options: DeploymentOptions = {}) {
    this.#options = options;
  }

  async start(): Promise<void> {
    await this.store.listen();
    for (const options of this.#options.servers ?? []) {
      const server = new ModelServer(options);
      await server.listen();
      this.servers.push(server);
      this.register(server);
    }
    this.configure();
    for (let i = 0; i < (this.#options.hosts ?? 1); i++) {
      await this.startHost(i);
    }
  }

  register(server: ModelServer, more: Record<string, unknown> = {}): void {
    this.store.put(TARGET_TOPIC, server.id, { ...server.entry, ...more });
  }

  /** Writes a configuration; members of `more` replace those of the default. */
  configure(more: Record<string, unknown> = {}): void {
    this.store.put(CONFIG_TOPIC, "config", {
      ...defaultConfig(this.#version++),
      ...more,
    });
  }

  /** Writes a configuration with other members of the streams' route. */
  configureStreamRoute(more: Record<string, unknown>): void {
    const { routes } = defaultConfig(0);
    const [briefs, ...others] = routes as Record<string, unknown>[];
    this.configure({ routes: [{ ...briefs, ...more }, ...others] });
  }

  async startHost(index: number): Promise<EntryHost> {
    const store = new StoreClient({
      endpoint: parseEndpoint(this.store.address) ?? { ip: "", port: 0 },
    });
    const log = this.#options.log ?? silentLog;
    const control = new TargetControl({ log });
    const host = new EntryHost({
      settings: hostSettings(index, this.#options.bounds),
      configLog: store.keyedLog(CONFIG_TOPIC),
      targetLog: store.keyedLog(TARGET_TOPIC),
      registry: store,
      decoder: recordDecoder,
      codec: headerCodec,
      control,
      clock: this.#options.clock ?? systemClock,
      log,
      // The same request takes the same path each time.
      random: () => 0.5,
    });
    await host.start();
    this.hosts.push(host);
    this.#owned.push(store, control);
    return host;
  }

  /** Waits until a host serves the model on a whole path. */
  async waitUntilPlaced(timeoutMs = 8_000): Promise<void> {
    const endMs = Date.now() + timeoutMs;
    const models = this.servers.filter(({ entry }) => "route-kind" in entry);
    while (models.some(({ span }) => span === undefined)) {
      if (Date.now() > endMs) throw new Error("the model was not placed");
      await systemClock.sleep(20);
    }
    for (const server of models) this.register(server);
    await systemClock.sleep(900);
  }

  close(): void {
    for (const host of this.hosts) host.dispose();
    for (const owned of this.#owned) owned.dispose();
    for (const server of this.servers) server.close();
    this.store.close();
  }
}

function hostSettings(
  index: number,
  bounds: Partial<HostSettings["bounds"]> = {},
): HostSettings {
  const local = { ip: "127.0.0.1", port: 0 };
  return {
    hostId: `host-${index}`,
    domain: "a",
    ip: "127.0.0.1",
    frontend: local,
    readiness: local,
    metrics: local,
    peerPort: 0,
    bounds: {
      revokeMs: 5_000,
      drainMs: 2_000,
      graceMs: 8_000,
      retryRatio: 0.2,
      retryWindowMs: 10_000,
      retrySlack: 200,
      stallMs: 3_000,
      ...bounds,
    },
  };
}

/** A configuration for the services above. */
export function defaultConfig(version: number): Record<string, unknown> {
  const common = {
    host: HOST_NAME,
    "timeout-ms": 4_000,
    "latency-goal-ms": 500,
    priority: 1,
    public: false,
  };
  return {
    version,
    routes: [
      {
        ...common,
        name: "briefs",
        "path-prefix": "/briefs/",
        "route-kind": "streaming",
        service: MODEL_SERVICE,
        "max-attempts": 2,
        resumable: true,
      },
      {
        ...common,
        name: "slips",
        "path-prefix": "/slips/",
        "route-kind": "non_idempotent",
        service: PLAIN_SERVICE,
        "max-attempts": 2,
      },
      {
        ...common,
        name: "acks",
        "path-prefix": "/acks/",
        "route-kind": "idempotent",
        service: PLAIN_SERVICE,
        "max-attempts": 2,
      },
    ],
    services: [
      {
        name: MODEL_SERVICE,
        "health-path": "/healthz",
        "max-conns": 100,
        engine: {
          layers: LAYER_COUNT,
          "layer-mb": 100,
          "kv-token-bytes": 80_000,
          slots: 64,
          step_ms: 1,
          read_per_s: 100_000,
          usual: { prompt: 100, answer: 20 },
          kinds: [{
            name: "small",
            "size-mb": 300,
            pace: 2,
            "read-factor": 2,
          }],
        },
      },
      { name: PLAIN_SERVICE, "health-path": "/healthz", "max-conns": 100 },
    ],
    limits: {
      "max-header-bytes": 16_384,
      "max-body-bytes": 65_536,
      "header-timeout-ms": 3_000,
      "idle-timeout-ms": 5_000,
    },
    tenants: [{ name: CUSTOMER, "api-keys": [KEY], priority: 1 }],
  };
}

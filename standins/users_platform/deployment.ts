/**
 * Test fixture: a deployment of the users' platform in one process, with a store,
 * model servers, plain servers, entry hosts and a configuration.
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
import { EraTracker } from "../../src/feeds/era_tracker.ts";
import { EntryHost } from "../../src/entry/entry_host.ts";
import type { HostSettings } from "../../src/ports/types.ts";
import { type ClientCut, LoopbackProxy } from "../loopback_proxy.ts";
import { hostIp, MAX_HOST_NUMBER } from "../loopback_address.ts";
import { ModelServer, type ModelServerOptions } from "./model_server.ts";
import { StoreStandin } from "./store_standin.ts";

export const MODEL_SERVICE = "drafting";
export const PLAIN_SERVICE = "desk";
export const HOST_NAME = "shows.example";
export const KEY = "key-of-breeders";
export const CUSTOMER = "breeders";

const LAYER_COUNT = 8;
const PEER_PORT = 7_340;
/** The store removes the record of a server that has not written it for so long. */
const LAPSE_MS = 1_500;

export interface DeploymentOptions {
  /** Started and registered in the store before the hosts start. */
  readonly servers?: readonly ModelServerOptions[];
  readonly hosts?: number;
  readonly log?: ILog;
  readonly clock?: Clock;
  readonly bounds?: Partial<HostSettings["bounds"]>;
  /** Whether a proxy stands before each server, which can cut single hosts off. */
  readonly hasProxies?: boolean;
}

export class Deployment {
  readonly store = new StoreStandin();
  readonly servers: ModelServer[] = [];
  readonly hosts: EntryHost[] = [];
  readonly #hostIps = new Map<number, string>();
  readonly #proxies = new Map<ModelServer, LoopbackProxy>();
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
      if (this.#options.hasProxies === true) {
        const proxy = new LoopbackProxy(server.address);
        await proxy.listen();
        this.#proxies.set(server, proxy);
        this.#owned.push(proxy);
      }
      this.register(server);
      server.life.onListeningChange = (isListening) =>
        isListening ? this.register(server) : this.#scheduleLapse(server);
    }
    this.configure();
    for (let i = 0; i < (this.#options.hosts ?? 1); i++) {
      await this.startHost(i);
    }
  }

  #scheduleLapse(server: ModelServer): void {
    const { id } = server;
    const lapse = setTimeout(() => {
      if (server.id !== id || !server.life.isRunning) {
        this.store.put(TARGET_TOPIC, id, undefined);
      }
    }, LAPSE_MS);
    this.#owned.push({ dispose: () => clearTimeout(lapse) });
  }

  register(server: ModelServer, overrides: Record<string, unknown> = {}): void {
    const address = this.#proxies.get(server)?.address ?? server.address;
    this.store.put(TARGET_TOPIC, server.id, {
      ...server.entry,
      address,
      ...overrides,
    });
  }

  /** Cuts hosts off from all servers, or no longer if `cut` is undefined. */
  cutFromServers(hosts: readonly number[], cut: ClientCut | undefined): void {
    for (const index of hosts) {
      this.cutAddressFromServers(this.#hostIps.get(index) ?? "", cut);
    }
  }

  /** The same for a host that is a process of its own. */
  cutAddressFromServers(ip: string, cut: ClientCut | undefined): void {
    for (const proxy of this.#proxies.values()) proxy.setCut(ip, cut);
  }

  /** Writes a configuration; fields of `overrides` replace those of the default. */
  configure(overrides: Record<string, unknown> = {}): void {
    this.store.put(CONFIG_TOPIC, "config", {
      ...defaultConfig(this.#version++),
      ...overrides,
    });
  }

  /** Writes a configuration; fields of `overrides` replace those of the stream route. */
  configureStreamRoute(overrides: Record<string, unknown>): void {
    const { routes } = defaultConfig(0);
    const [briefs, ...others] = routes as Record<string, unknown>[];
    this.configure({ routes: [{ ...briefs, ...overrides }, ...others] });
  }

  async startHost(index: number): Promise<EntryHost> {
    const log = this.#options.log ?? silentLog;
    const clock = this.#options.clock ?? systemClock;
    const eras = new EraTracker({ clock, log });
    const store = new StoreClient({
      endpoint: parseEndpoint(this.store.address) ?? { ip: "", port: 0 },
      onEra: (era) => eras.observe(era, "store"),
    });
    const settings = hostSettings(index, this.#options.bounds);
    this.#hostIps.set(index, settings.ip);
    const control = new TargetControl({
      log,
      localAddress: settings.outgoingIp,
    });
    const host = new EntryHost({
      settings,
      configLog: store.keyedLog(CONFIG_TOPIC),
      targetLog: store.keyedLog(TARGET_TOPIC),
      registry: store,
      eras,
      decoder: recordDecoder,
      codec: headerCodec,
      control,
      clock,
      log,
      // A constant, so that the same request always takes the same path.
      random: () => 0.5,
    });
    await host.start();
    this.hosts.push(host);
    this.#owned.push(store, control);
    return host;
  }

  /** Waits until all model servers are placed and hosts have read their records. */
  async waitUntilPlaced(timeoutMs = 8_000): Promise<void> {
    const endMs = Date.now() + timeoutMs;
    const models = this.servers.filter(({ entry }) => "route-kind" in entry);
    while (models.some(({ span }) => span === undefined)) {
      if (Date.now() > endMs) {
        throw new Error(`model not placed within ${timeoutMs} ms`);
      }
      await systemClock.sleep(20);
    }
    for (const server of models) this.register(server);
    await systemClock.sleep(900);
  }

  /** Throws if a host has sent the store or a server a malformed call. */
  close(): void {
    for (const host of this.hosts) host.dispose();
    for (const resource of this.#owned) resource.dispose();
    for (const server of this.servers) server.close();
    this.store.close();
    const invalid = [this.store, ...this.servers]
      .flatMap(({ invalidCalls }) => invalidCalls);
    if (invalid.length > 0) {
      throw new Error(`malformed calls: ${invalid.join("; ")}`);
    }
  }
}

let nextHostNumber = 0;

/** A loopback address that no other host of a running test has. */
function newHostIp(): string {
  return hostIp(nextHostNumber++ % MAX_HOST_NUMBER + 1);
}

function hostSettings(
  index: number,
  bounds: Partial<HostSettings["bounds"]> = {},
): HostSettings {
  const local = { ip: "127.0.0.1", port: 0 };
  const ip = newHostIp();
  return {
    hostId: `host-${index}`,
    domain: "a",
    ip,
    outgoingIp: ip,
    frontend: local,
    readiness: local,
    metrics: local,
    peerPorts: { first: PEER_PORT, last: PEER_PORT },
    isFirstStart: true,
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

/** Returns a configuration of the model service and the plain service. */
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

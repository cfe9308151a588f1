/**
 * A small deployment of real processes on loopback: log, host list, engines,
 * a plain service and several hosts.
 *
 * @module
 */

import { createHash } from "node:crypto";
import got, { type Got } from "got";
import type { ConfigDocument } from "../src/config/schema.ts";
import { ProgramGroup, type RunningProgram } from "./processes.ts";

const PEER_SECRET = "local-fleet-peer-secret";
export const OPERATOR_KEY = "local-fleet-operator-key";
const FAILURE_DOMAINS = ["nave-leon", "nave-oviedo", "nave-santander"];
const POLL_INTERVAL_MS = 20;

/** An engine to start. */
export interface EngineSpec {
  readonly name: string;
  readonly first: number;
  readonly end: number;
  readonly tokenMs?: number;
  readonly flags?: readonly string[];
}

/** Options of a local fleet. */
export interface LocalFleetOptions {
  readonly hostCount?: number;
  readonly engines?: readonly EngineSpec[];
  readonly services?: readonly string[];
  readonly layerCount?: number;
  readonly hostFlags?: readonly string[];
}

/** A customer's name and key in plain text. */
export interface CallerKey {
  readonly customer: string;
  readonly key: string;
}

/** One running host. */
export interface LocalHost {
  readonly name: string;
  readonly program: RunningProgram;
  readonly callerUrl: string;
  readonly operatorUrl: string;
  readonly peerUrl: string;
}

export const DEMO_MODEL = "escriba-12b";
export const DEMO_VERSION = "v1";

/** Starts and stops the processes. */
export class LocalFleet {
  readonly programs = new ProgramGroup();
  readonly engines = new Map<string, RunningProgram>();
  readonly services = new Map<string, RunningProgram>();
  readonly hosts: LocalHost[] = [];
  readonly #options: LocalFleetOptions;
  #log?: RunningProgram;
  #hostList?: RunningProgram;
  #hostCounter = 0;

  constructor(options: LocalFleetOptions = {}) {
    this.#options = options;
  }

  /** The stand-in of the log. */
  get platformLog(): RunningProgram {
    if (this.#log === undefined) throw new Error("the fleet is not started");
    return this.#log;
  }

  get logUrl(): string {
    return urlOf(this.#log);
  }

  get hostListUrl(): string {
    return urlOf(this.#hostList);
  }

  async start(): Promise<void> {
    await this.startPlatform();
    await Promise.all([
      ...(this.#options.engines ?? []).map((spec) => this.startEngine(spec)),
      ...(this.#options.services ?? []).map((name) => this.startService(name)),
    ]);
    for (let index = 0; index < (this.#options.hostCount ?? 2); index++) {
      await this.startHost();
    }
    await this.waitForVersion(0);
  }

  /** Starts the log and the host list. */
  async startPlatform(): Promise<void> {
    this.#log = await this.programs.start({
      name: "log",
      program: "standins/log/main.js",
    });
    this.#hostList = await this.programs.start({
      name: "host-list",
      program: "standins/host_list/main.js",
    });
  }

  async stop(): Promise<void> {
    await this.programs.stopAll();
  }

  async startEngine(spec: EngineSpec): Promise<RunningProgram> {
    const program = await this.programs.start({
      name: spec.name,
      program: "standins/engine/main.js",
      flags: [
        `--target=${spec.name}`,
        `--model=${DEMO_MODEL}`,
        `--version=${DEMO_VERSION}`,
        `--first=${spec.first}`,
        `--end=${spec.end}`,
        `--token-ms=${spec.tokenMs ?? 5}`,
        ...spec.flags ?? [],
      ],
    });
    this.engines.set(spec.name, program);
    await this.#register(spec.name, urlOf(program), "target");
    return program;
  }

  async startService(name: string): Promise<RunningProgram> {
    const program = await this.programs.start({
      name,
      program: "standins/service/main.js",
    });
    this.services.set(name, program);
    await this.#register(name, urlOf(program), "target");
    return program;
  }

  async startHost(): Promise<LocalHost> {
    const index = this.#hostCounter++;
    const name = `host-${index + 1}`;
    const program = await this.programs.start({
      name,
      program: "src/daemon/main.js",
      flags: [
        `--host-name=${name}`,
        `--failure-domain=${FAILURE_DOMAINS[index % FAILURE_DOMAINS.length]}`,
        "--caller-port=0",
        "--operator-port=0",
        "--peer-port=0",
        `--log-url=${this.logUrl}`,
        `--host-list-url=${this.hostListUrl}`,
        "--unready-notice-ms=200",
        ...this.#options.hostFlags ?? [],
      ],
      environment: {
        JACKDAWSHIFT_PEER_SECRET: PEER_SECRET,
        JACKDAWSHIFT_OPERATOR_KEYS: `demo:${digest(OPERATOR_KEY)}`,
      },
    });
    const ready = program.ready as Readonly<Record<string, string>>;
    const { callerUrl, operatorUrl, peerUrl } = ready;
    const host = { name, program, callerUrl, operatorUrl, peerUrl };
    this.hosts.push(host);
    await this.#register(name, peerUrl, "entry");
    return host;
  }

  /** The operators' interface of a host. */
  operator(host: LocalHost = this.hosts[0]): Got {
    return got.extend({
      prefixUrl: host.operatorUrl,
      headers: { authorization: `Bearer ${OPERATOR_KEY}` },
      responseType: "json",
      retry: { limit: 0 },
      throwHttpErrors: false,
    });
  }

  /** Submits a document as a merge patch onto the version in force. */
  async apply(
    document: ConfigDocument,
    host: LocalHost = this.hosts[0],
  ): Promise<number> {
    const current = await this.operator(host).get("operator/config").json<
      { version: number }
    >();
    const answer = await this.operator(host).patch("operator/config", {
      body: JSON.stringify(document),
      headers: {
        "content-type": "application/merge-patch+json",
        "if-match": `"${current.version}"`,
      },
    });
    const body = answer.body as { readonly version?: number };
    if (body.version === undefined) {
      throw new Error(`refused: ${JSON.stringify(answer.body)}`);
    }
    return body.version;
  }

  /** Resolves when every host has the version in force and is ready. */
  async waitForVersion(version: number, timeoutMs = 7_000): Promise<void> {
    await waitUntil(`version ${version} everywhere`, timeoutMs, async () => {
      const states = await Promise.all(this.hosts.map(async (host) => {
        const { configVersion } = await this.operator(host).get(
          "operator/status",
        )
          .json<{ configVersion: number }>();
        return configVersion >= version && await isReady(host);
      }));
      return states.every(Boolean);
    });
  }

  /** Sends a fault to a stand-in. */
  async control(
    program: RunningProgram,
    fault: Readonly<Record<string, unknown>>,
  ): Promise<void> {
    await got.post(`${urlOf(program)}/control`, {
      json: fault,
      retry: { limit: 0 },
    });
  }

  /** Takes a host or target off the platform's list. */
  async unlist(name: string): Promise<void> {
    await got.delete(`${this.hostListUrl}/hosts/${name}`, {
      retry: { limit: 0 },
    });
  }

  async #register(
    name: string,
    url: string,
    role: "entry" | "target",
  ): Promise<void> {
    const failureDomain = FAILURE_DOMAINS[0];
    const entry = {
      name,
      url,
      failureDomain,
      region: "default",
      role,
      state: "live",
    };
    await got.put(`${this.hostListUrl}/hosts/${name}`, {
      json: entry,
      retry: { limit: 0 },
    });
  }
}

/** The configuration that fits a fleet's engines and services. */
export function documentFor(
  fleet: LocalFleet,
  options: {
    readonly pipeline: string;
    readonly layerCount: number;
    readonly stages: readonly {
      first: number;
      end: number;
      targets: string[];
    }[];
    readonly standbys?: readonly string[];
    readonly service: string;
    readonly callers: readonly CallerKey[];
  },
): ConfigDocument {
  const customers = options.callers.map(({ customer, key }) => [customer, {
    keyDigests: [digest(key)],
    requestsPerS: 1_000,
    concurrentRequests: 500,
  }]);
  const names = options.callers.map((caller) => caller.customer);
  const engines = [...fleet.engines].map(([name, program]) =>
    targetEntry(name, program, "engine")
  );
  const services = [...fleet.services].map(([name, program]) =>
    targetEntry(name, program, "service")
  );
  return {
    customers: Object.fromEntries(customers),
    pipelines: {
      [options.pipeline]: {
        model: DEMO_MODEL,
        version: DEMO_VERSION,
        layerCount: options.layerCount,
        customers: names,
        stages: options.stages.map((stage) => ({ ...stage })),
        standbys: [...options.standbys ?? []],
      },
    },
    services: {
      [options.service]: {
        customers: names,
        targets: [...fleet.services.keys()],
      },
    },
    targets: Object.fromEntries([...engines, ...services]),
  };
}

/** Whether a host takes requests. */
export async function isReady(host: LocalHost): Promise<boolean> {
  const answer = await got.get(`${host.callerUrl}/readyz`, {
    throwHttpErrors: false,
    retry: { limit: 0 },
  });
  return answer.statusCode === 200;
}

/** Polls until `check` holds; throws when it does not within the time. */
export async function waitUntil(
  condition: string,
  timeoutMs: number,
  check: () => Promise<boolean>,
): Promise<void> {
  const untilMs = performance.now() + timeoutMs;
  while (!await check().catch(() => false)) {
    if (performance.now() > untilMs) {
      throw new Error(`${condition}: not within ${timeoutMs} ms`);
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}

/** The SHA-256 digest of a key as the configuration holds it. */
export function digest(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}

/** The base URL of a stand-in. */
export function urlOf(program: RunningProgram | undefined): string {
  return String(program?.ready["url"]);
}

function targetEntry(
  name: string,
  program: RunningProgram,
  kind: "engine" | "service",
) {
  const target = {
    kind,
    url: urlOf(program),
    failureDomain: FAILURE_DOMAINS[0],
  };
  return [name, target] as const;
}

/**
 * Call services on several hosts before one plain service that counts what it
 * ran, with faults between each two steps.
 *
 * @module
 */

import { Ok } from "ts-results-es";
import type { Clock } from "../src/common/clock.ts";
import type { Random } from "../src/common/random.ts";
import { mayHaveRun, notRun, type Outcome } from "../src/common/verdict.ts";
import { configSchema } from "../src/config/schema.ts";
import type { IConfigService } from "../src/config/services.ts";
import type { ITargetDirectory } from "../src/pipelines/services.ts";
import type { IServiceClient } from "../src/clients/services.ts";
import type { ServiceRequest, ServiceResponse } from "../src/clients/types.ts";
import { CallService } from "../src/requests/call_service.ts";
import { RequestJournal } from "../src/requests/request_journal.ts";
import type { IClaimService } from "../src/requests/services.ts";
import type { TestHost } from "./requests_host.ts";

const TARGETS = ["desk-1", "desk-2", "desk-3"];

/** A configuration with one plain service. */
export function serviceConfig(
  service: { rejectsRepeatedKeys?: boolean } = {},
): IConfigService {
  const config = configSchema.parse({
    customers: {
      ferias: { keyDigests: [], requestsPerS: 1, concurrentRequests: 1 },
    },
    services: {
      mostrador: { customers: ["ferias"], targets: TARGETS, ...service },
    },
    targets: Object.fromEntries(
      TARGETS.map((name) => [name, {
        kind: "service",
        url: `http://${name}`,
        failureDomain: "d",
      }]),
    ),
  });
  return { state: { version: 1, offset: 0, config } } as IConfigService;
}

/** A plain service that notes every request that it runs. */
export class TestService {
  /** Identifiers of requests that ran, by idempotency key. */
  readonly runs = new Map<string, string[]>();
  faults: number;
  /** Set on a service that keeps idempotency keys itself. */
  rejectsRepeatedKeys = false;
  readonly #clock: Clock;
  readonly #random: Random;

  constructor(
    options: { clock: Clock; random: Random; faults?: number },
  ) {
    this.#clock = options.clock;
    this.#random = options.random;
    this.faults = options.faults ?? 0;
  }

  /** The desk as `host` reaches it: what was sent arrives, host dead or not. */
  client(host: TestHost): IServiceClient {
    return {
      call: async (_url, request) =>
        await host.resolveWhenRunning(await this.#call(request)),
    };
  }

  async #call(request: ServiceRequest): Promise<Outcome<ServiceResponse>> {
    const isFaulty = this.#random() < this.faults;
    const kind = isFaulty ? Math.floor(this.#random() * 4) : -1;
    await this.#clock.sleep(this.#random() * 20);
    if (kind === 0) return notRun("connection-failed", "refused");
    if (kind === 1) return mayHaveRun("connection-failed", "cut before");
    const status = this.#run(request);
    await this.#clock.sleep(this.#random() * 200);
    if (kind === 2) return mayHaveRun("connection-failed", "cut after");
    if (kind === 3) await this.#clock.sleep(60_000);
    return new Ok({ status, body: new Uint8Array() });
  }

  #run(request: ServiceRequest): number {
    const key = request.idempotencyKey ?? request.attemptId;
    const runs = this.runs.get(key) ?? [];
    if (this.rejectsRepeatedKeys && runs.length > 0) return 409;
    this.runs.set(key, [...runs, new TextDecoder().decode(request.body)]);
    return 200;
  }
}

/** Options of `callService`. */
export interface TestCallOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly host: TestHost;
  readonly claims: IClaimService;
  readonly service: TestService;
  readonly config: IConfigService;
  readonly newId: () => string;
}

/** One host's call service. */
export function callService(options: TestCallOptions): CallService {
  const { clock, host, service: service } = options;
  const directory = { takesNewWork: () => true } as unknown as ITargetDirectory;
  return new CallService({
    ...options,
    clock: host.clock(clock),
    directory,
    services: service.client(host),
    journal: new RequestJournal({ clock }),
  });
}

/**
 * Call services of several hosts in front of one plain service that records
 * executed requests, with faults injected before and after each execution.
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

/** A configuration with the plain service `mostrador`. */
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

/** A plain service that records every request it executes. */
export class TestService {
  /** Bodies of executed requests, by idempotency key or else by attempt. */
  readonly runs = new Map<string, string[]>();
  /** Probability that a call fails in one of four ways. */
  faults: number;
  /** Whether the service itself rejects repeated idempotency keys. */
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

  /**
   * Client of the service for `host`. A request arrives even if the host dies
   * after sending it.
   */
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
    if (kind === 0) {
      return notRun("connection-failed", "the connection was refused");
    }
    if (kind === 1) {
      return mayHaveRun(
        "connection-failed",
        "connection lost before the request was executed",
      );
    }
    const status = this.#run(request);
    await this.#clock.sleep(this.#random() * 200);
    if (kind === 2) {
      return mayHaveRun(
        "connection-failed",
        "connection lost after the request was executed",
      );
    }
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

export interface TestCallOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly host: TestHost;
  readonly claims: IClaimService;
  readonly service: TestService;
  readonly config: IConfigService;
  readonly newId: () => string;
}

/** Creates the call service of one host. */
export function callService(options: TestCallOptions): CallService {
  const { clock, host, service } = options;
  const directory = {
    acceptsNewWork: () => true,
  } as unknown as ITargetDirectory;
  return new CallService({
    ...options,
    clock: host.clock(clock),
    directory,
    services: service.client(host),
    journal: new RequestJournal({ clock }),
  });
}

/**
 * The callers' interface on a real port, with small fakes behind it.
 *
 * @module
 */

import { connect, type Socket } from "node:net";
import { Ok } from "ts-results-es";
import { toDisposable } from "../src/common/lifecycle.ts";
import { silentLog } from "../src/common/logging.ts";
import { Metrics } from "../src/common/metrics.ts";
import {
  type Config,
  type ConfigDocument,
  configSchema,
} from "../src/config/schema.ts";
import type { IConfigService } from "../src/config/services.ts";
import { AdmissionQueue } from "../src/fleet/admission_queue.ts";
import type { ILimitService } from "../src/fleet/services.ts";
import { CustomerAuthenticator, digestKey } from "../src/http/authenticator.ts";
import { CallRoutes } from "../src/http/call_routes.ts";
import { CallerAdmission } from "../src/http/caller_admission.ts";
import { CompletionRoutes } from "../src/http/completion_routes.ts";
import { HttpServer } from "../src/http/http_server.ts";
import type {
  ICallService,
  ICompletionService,
} from "../src/requests/services.ts";
import { RequestJournal } from "../src/requests/request_journal.ts";
import { CallerClient } from "./caller_client.ts";
import { ManualClock } from "./manual_clock.ts";

export const CALLER = { customer: "cooperativa", key: "caller-key" };
export const OTHER_CALLER = { customer: "rival", key: "rival-key" };
export const MAX_BODY_BYTES = 2_048;
export const BODY_TIMEOUT_MS = 5_000;

/** What a test puts behind the interface. */
export interface HttpFixtureOptions {
  readonly completions?: ICompletionService["complete"];
  readonly calls?: ICallService["call"];
  readonly limits?: ILimitService;
  readonly isReady?: () => boolean;
  readonly maxConcurrentRequests?: number;
}

/** A listening callers' interface. */
export class HttpFixture {
  readonly clock = new ManualClock();
  readonly metrics = new Metrics();
  readonly gate: CallerAdmission;
  readonly #server: HttpServer;
  #baseUrl = "";

  constructor(options: HttpFixtureOptions = {}) {
    const { clock, metrics } = this;
    const journal = new RequestJournal({ clock });
    const config = fixedConfig(DOCUMENT, options.isReady);
    this.gate = new CallerAdmission({
      clock,
      metrics,
      config,
      journal,
      limits: options.limits ?? UNLIMITED,
      authenticator: new CustomerAuthenticator({ config }),
      queue: new AdmissionQueue({
        maxRunning: () => options.maxConcurrentRequests ?? 100,
        clock,
      }),
    });
    const shared = {
      clock,
      metrics,
      config,
      journal,
      gate: this.gate,
      maxBodyBytes: MAX_BODY_BYTES,
      bodyWithinMs: BODY_TIMEOUT_MS,
    };
    this.#server = new HttpServer({
      name: "callers",
      address: "127.0.0.1",
      port: 0,
      clock,
      log: silentLog,
      metrics,
    });
    const complete = options.completions ??
      (() => Promise.reject(new Error("not expected")));
    const call = options.calls ??
      (() => Promise.reject(new Error("not expected")));
    new CompletionRoutes({ ...shared, completions: { complete } }).attach(
      this.#server,
    );
    new CallRoutes({ ...shared, calls: { call } }).attach(this.#server);
  }

  async open(): Promise<this> {
    this.#baseUrl = await this.#server.listen();
    return this;
  }

  async close(): Promise<void> {
    this.#server.destroy();
    await this.#server.close();
  }

  client(key = CALLER.key): CallerClient {
    return new CallerClient({ baseUrl: this.#baseUrl, key });
  }

  /** A raw connection, for what no well-behaved client sends. */
  async connect(): Promise<Socket> {
    const socket = connect(Number(new URL(this.#baseUrl).port), "127.0.0.1");
    await new Promise((resolve) => socket.once("connect", resolve));
    return socket;
  }

  url(path: string): string {
    return `${this.#baseUrl}${path}`;
  }
}

const UNLIMITED: ILimitService = {
  admit: () => new Ok(toDisposable(() => {})),
  admitOrWait: () => Promise.resolve(new Ok(toDisposable(() => {}))),
};

const DOCUMENT: ConfigDocument = {
  customers: {
    [CALLER.customer]: customer(CALLER.key),
    [OTHER_CALLER.customer]: customer(OTHER_CALLER.key),
  },
  pipelines: {
    escriba: {
      model: "escriba-12b",
      version: "v1",
      layerCount: 2,
      customers: [CALLER.customer],
      stages: [{ first: 0, end: 2, targets: ["etapa-a"] }],
      maxTokens: 64,
    },
  },
  services: {
    mostrador: { customers: [CALLER.customer], targets: ["mostrador-1"] },
  },
};

/** A configuration service that never changes. */
export function fixedConfig(
  document: ConfigDocument,
  isReady: () => boolean = () => true,
): IConfigService {
  const config: Config = configSchema.parse(document);
  return {
    state: { version: 1, offset: 0, config },
    get isReady() {
      return isReady();
    },
    onChange: () => toDisposable(() => {}),
    plan: () => new Ok(config),
    patch: () =>
      Promise.reject(new Error("a fixed configuration takes no patch")),
    history: () => [],
  };
}

function customer(key: string) {
  return {
    keyDigests: [digestKey(key)],
    requestsPerS: 100,
    concurrentRequests: 100,
  };
}

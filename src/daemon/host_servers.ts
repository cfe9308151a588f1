/**
 * The three servers of a host and the routes on them: callers, operators and
 * peers.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import type { Container } from "inversify";
import type { Clock } from "../common/clock.ts";
import { ILog } from "../common/logging.ts";
import { IMetrics } from "../common/metrics.ts";
import type { Outcome } from "../common/verdict.ts";
import { ConfigService } from "../config/config_service.ts";
import { IConfigService } from "../config/services.ts";
import { AdmissionQueue } from "../fleet/admission_queue.ts";
import { PEER_NAME_HEADER } from "../fleet/peer_post.ts";
import { PeerTransport } from "../fleet/peer_transport.ts";
import { ILimitService } from "../fleet/services.ts";
import {
  CustomerAuthenticator,
  KeyAuthenticator,
} from "../http/authenticator.ts";
import { CallRoutes } from "../http/call_routes.ts";
import { CallerAdmission } from "../http/caller_admission.ts";
import { CompletionRoutes } from "../http/completion_routes.ts";
import { HealthRoutes } from "../http/health_routes.ts";
import { HttpServer, type TlsMaterial } from "../http/http_server.ts";
import { OperatorRoutes } from "../http/operator_routes.ts";
import { PeerRoutes } from "../http/peer_routes.ts";
import {
  ICallService,
  ICompletionService,
  IRequestJournal,
} from "../requests/services.ts";
import type { Settings } from "./settings.ts";

const IN_FLIGHT_POLL_INTERVAL_MS = 20;

/** Options of the servers. */
export interface HostServersOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly container: Container;
  readonly hostName: string;
  /** Why this host takes no new requests; empty when it is ready. */
  readonly readBlockers: () => readonly string[];
  readonly readStatus: () => Readonly<Record<string, unknown>>;
  readonly drainHost: (name: string) => Promise<Outcome<void>>;
}

/** Opens and closes the servers of one host. */
export class HostServers {
  readonly #options: HostServersOptions;
  readonly #callers: HttpServer;
  readonly #operators: HttpServer;
  readonly #peers: HttpServer;
  #gate: CallerAdmission | undefined;

  constructor(options: HostServersOptions) {
    this.#options = options;
    const { settings } = options;
    const tls = readTls(settings);
    this.#callers = this.#createServer("callers", settings.callerPort, tls);
    this.#operators = this.#createServer(
      "operators",
      settings.operatorPort,
      tls,
    );
    this.#peers = this.#createServer("peers", settings.peerPort, undefined);
  }

  /** Callers' requests that have not ended. */
  get inFlightCount(): number {
    return this.#gate?.inFlightCount ?? 0;
  }

  /** Opens the peers' port and returns its URL. */
  openPeers(): Promise<string> {
    const { clock, settings, container } = this.#options;
    const transport = container.get(PeerTransport);
    new PeerRoutes({
      clock,
      peerSecret: settings.peerSecret,
      senderHeader: PEER_NAME_HEADER,
      receive: (payload, from) => transport.receive(payload, from),
    }).attach(this.#peers);
    return this.#peers.listen();
  }

  /** Opens the ports of operators and callers and returns their URLs. */
  async openOperatorsAndCallers(): Promise<
    { operatorUrl: string; callerUrl: string }
  > {
    this.#attachCallerRoutes();
    this.#operatorRoutes().attach(this.#operators);
    const { readBlockers } = this.#options;
    const health = new HealthRoutes({ readBlockers });
    health.attach(this.#callers);
    health.attach(this.#operators);
    const operatorUrl = await this.#operators.listen();
    const callerUrl = await this.#callers.listen();
    return { operatorUrl, callerUrl };
  }

  /** Callers are asked to open new connections, which go to other hosts. */
  discourageReuse(): void {
    this.#callers.closeConnectionsAfterResponse();
  }

  /** Takes no more callers and waits for those in flight, cutting them at the deadline. */
  async closeCallers(deadlineMs: number): Promise<void> {
    const { clock } = this.#options;
    const closed = this.#callers.close();
    while (this.inFlightCount > 0 && clock.nowMs() < deadlineMs) {
      await clock.sleep(IN_FLIGHT_POLL_INTERVAL_MS);
    }
    this.#callers.destroy();
    await closed;
  }

  /** Closes the ports of operators and peers. */
  async closeOperatorsAndPeers(): Promise<void> {
    this.#operators.destroy();
    this.#peers.destroy();
    await Promise.all([this.#operators.close(), this.#peers.close()]);
  }

  #createServer(
    name: string,
    port: number,
    tls: TlsMaterial | undefined,
  ): HttpServer {
    const { settings, clock, container } = this.#options;
    return new HttpServer({
      name,
      port,
      address: settings.listenAddress,
      clock,
      log: container.get(ILog),
      metrics: container.get(IMetrics),
      tls,
    });
  }

  #attachCallerRoutes(): void {
    const { clock, container, settings } = this.#options;
    const gate = this.#createGate();
    this.#gate = gate;
    const shared = {
      clock,
      metrics: container.get(IMetrics),
      config: container.get(IConfigService),
      journal: container.get(IRequestJournal),
      gate,
      maxBodyBytes: settings.maxBodyBytes,
      bodyWithinMs: settings.bodyWithinMs,
    };
    const completions = container.get(ICompletionService);
    new CompletionRoutes({ ...shared, completions }).attach(this.#callers);
    const calls = container.get(ICallService);
    new CallRoutes({ ...shared, calls }).attach(this.#callers);
  }

  #createGate(): CallerAdmission {
    const { clock, container, settings } = this.#options;
    const config = container.get(IConfigService);
    return new CallerAdmission({
      clock,
      metrics: container.get(IMetrics),
      config,
      limits: container.get(ILimitService),
      journal: container.get(IRequestJournal),
      authenticator: new CustomerAuthenticator({ config }),
      queue: new AdmissionQueue({
        maxRunning: () => settings.maxConcurrentRequests,
        clock,
      }),
    });
  }

  #operatorRoutes(): OperatorRoutes {
    const { clock, container, settings } = this.#options;
    return new OperatorRoutes({
      clock,
      log: container.get(ILog),
      metrics: container.get(IMetrics),
      config: container.get(IConfigService),
      journal: container.get(IRequestJournal),
      authenticator: new KeyAuthenticator({ keys: settings.operatorKeys }),
      hostName: this.#options.hostName,
      readConfig: (options) => container.get(ConfigService).readLatest(options),
      readStatus: this.#options.readStatus,
      drainHost: this.#options.drainHost,
    });
  }
}

function readTls(settings: Settings): TlsMaterial | undefined {
  if (settings.tlsCertificateFile === "") return undefined;
  return {
    certificate: readFileSync(settings.tlsCertificateFile),
    key: readFileSync(settings.tlsKeyFile),
  };
}

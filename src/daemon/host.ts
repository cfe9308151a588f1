/**
 * One entry host: its servers, its supervisor tree, and its planned stop.
 *
 * @module
 */

import { randomBytes } from "node:crypto";
import { readFileSync } from "node:fs";
import type { Container } from "inversify";
import { Ok } from "ts-results-es";
import { type Clock, systemClock } from "../common/clock.ts";
import { DisposableStore } from "../common/lifecycle.ts";
import { ILog } from "../common/logging.ts";
import { IMetrics } from "../common/metrics.ts";
import type { Supervisor } from "../common/supervisor.ts";
import { notRun, type Outcome } from "../common/verdict.ts";
import { ConfigService } from "../config/config_service.ts";
import { IConfigService } from "../config/services.ts";
import { PEER_NAME_HEADER } from "../fleet/peer_post.ts";
import { PeerTransport } from "../fleet/peer_transport.ts";
import { ILimitService, IMembership } from "../fleet/services.ts";
import {
  CustomerAuthenticator,
  KeyAuthenticator,
} from "../http/authenticator.ts";
import { CallRoutes } from "../http/call_routes.ts";
import { CallerGate } from "../http/caller_gate.ts";
import { CompletionRoutes } from "../http/completion_routes.ts";
import { HealthRoutes } from "../http/health_routes.ts";
import { HttpServer, type TlsMaterial } from "../http/http_server.ts";
import { OperatorRoutes } from "../http/operator_routes.ts";
import { PeerRoutes } from "../http/peer_routes.ts";
import { TargetDirectory } from "../pipelines/target_directory.ts";
import { TargetSubset } from "../pipelines/target_subset.ts";
import {
  ICallService,
  ICompletionService,
  IRequestJournal,
} from "../requests/services.ts";
import { createContainer } from "./container.ts";
import { HostState } from "./host_state.ts";
import { readStatus } from "./host_status.ts";
import { startHostTree } from "./host_tree.ts";
import { registerProcessMetrics } from "./process_metrics.ts";
import { TargetReadiness } from "./target_readiness.ts";
import type { Settings } from "./settings.ts";

const IN_FLIGHT_CHECK_MS = 20;
const DRAIN_CALL_MS = 2_000;
const DRAIN_METHOD = "host.drain";

/** Where a host listens. */
export interface HostAddresses {
  readonly callerUrl: string;
  readonly operatorUrl: string;
  readonly peerUrl: string;
}

/** Options of a host. */
export interface HostOptions {
  readonly settings: Settings;
  readonly clock?: Clock;
}

/** One running host. */
export class Host {
  readonly name: string;
  readonly #settings: Settings;
  readonly #clock: Clock;
  readonly #container: Container;
  readonly #state = new HostState();
  readonly #owned = new DisposableStore();
  readonly #gate: CallerGate;
  readonly #targets: TargetReadiness;
  readonly #callerServer: HttpServer;
  readonly #operatorServer: HttpServer;
  readonly #peerServer: HttpServer;
  #peerUrl = "";
  #tree: Supervisor | undefined;
  #stopped: Promise<void> | undefined;

  constructor(options: HostOptions) {
    this.#settings = options.settings;
    this.#clock = options.clock ?? systemClock;
    this.name = options.settings.hostName ||
      `host-${randomBytes(6).toString("hex")}`;
    this.#container = createContainer({
      settings: this.#settings,
      hostName: this.name,
      peerUrl: () => this.#peerUrl,
      clock: this.#clock,
    });
    const tls = readTls(this.#settings);
    this.#callerServer = this.#createServer(
      "callers",
      this.#settings.callerPort,
      tls,
    );
    this.#operatorServer = this.#createServer(
      "operators",
      this.#settings.operatorPort,
      tls,
    );
    this.#peerServer = this.#createServer(
      "peers",
      this.#settings.peerPort,
      undefined,
    );
    this.#gate = this.#createGate();
    this.#targets = new TargetReadiness({
      clock: this.#clock,
      subset: this.#container.get(TargetSubset),
      directory: this.#container.get(TargetDirectory),
    });
    this.#owned.add(
      registerProcessMetrics(this.#container.get(IMetrics)),
    );
  }

  /** Opens the ports and starts every task. */
  async start(): Promise<HostAddresses> {
    this.#attachPeerRoutes();
    this.#peerUrl = await this.#peerServer.listen();
    this.#tree = startHostTree(this.#container);
    this.#attachRoutes();
    const operatorUrl = await this.#operatorServer.listen();
    const callerUrl = await this.#callerServer.listen();
    this.#state.advanceTo("serving");
    const addresses = { callerUrl, operatorUrl, peerUrl: this.#peerUrl };
    this.#container.get(ILog).info("listening", { ...addresses });
    return addresses;
  }

  /** The planned stop; cuts nothing unless it takes longer than the settings allow. */
  stop(): Promise<void> {
    this.#stopped ??= this.#stop();
    return this.#stopped;
  }

  async #stop(): Promise<void> {
    const log = this.#container.get(ILog);
    const deadlineMs = this.#clock.nowMs() + this.#settings.stopWithinMs;
    log.info("stopping", { inFlight: this.#gate.inFlightCount });
    this.#state.advanceTo("unready");
    this.#callerServer.discourageReuse();
    await this.#container.get(IMembership).leave();
    await this.#clock.sleep(this.#settings.unreadyNoticeMs);
    this.#state.advanceTo("finishing");
    const closed = this.#callerServer.close();
    await this.#finishInFlight(deadlineMs);
    this.#callerServer.destroy();
    await closed;
    await this.#tree?.stop();
    this.#operatorServer.destroy();
    this.#peerServer.destroy();
    await Promise.all([this.#operatorServer.close(), this.#peerServer.close()]);
    await this.#container.unbindAll();
    this.#owned.dispose();
    this.#state.advanceTo("stopped");
    log.info("stopped", { inFlight: this.#gate.inFlightCount });
  }

  async #finishInFlight(deadlineMs: number): Promise<void> {
    while (this.#gate.inFlightCount > 0 && this.#clock.nowMs() < deadlineMs) {
      await this.#clock.sleep(IN_FLIGHT_CHECK_MS);
    }
  }

  #createServer(
    name: string,
    port: number,
    tls: TlsMaterial | undefined,
  ): HttpServer {
    return new HttpServer({
      name,
      port,
      address: this.#settings.listenAddress,
      clock: this.#clock,
      log: this.#container.get(ILog),
      metrics: this.#container.get(IMetrics),
      tls,
    });
  }

  #createGate(): CallerGate {
    const config = this.#container.get(IConfigService);
    return new CallerGate({
      clock: this.#clock,
      metrics: this.#container.get(IMetrics),
      config,
      limits: this.#container.get(ILimitService),
      journal: this.#container.get(IRequestJournal),
      authenticator: new CustomerAuthenticator({ config }),
      maxConcurrentRequests: this.#settings.maxConcurrentRequests,
    });
  }

  #attachPeerRoutes(): void {
    const transport = this.#container.get(PeerTransport);
    transport.handle(DRAIN_METHOD, () => {
      void this.stop();
      return null;
    });
    new PeerRoutes({
      clock: this.#clock,
      peerSecret: this.#settings.peerSecret,
      senderHeader: PEER_NAME_HEADER,
      receive: (payload, from) => transport.receive(payload, from),
    }).attach(this.#peerServer);
  }

  #attachRoutes(): void {
    const container = this.#container;
    const shared = {
      clock: this.#clock,
      metrics: container.get(IMetrics),
      config: container.get(IConfigService),
      journal: container.get(IRequestJournal),
      gate: this.#gate,
      maxBodyBytes: this.#settings.maxBodyBytes,
      bodyWithinMs: this.#settings.bodyWithinMs,
    };
    const completions = container.get(ICompletionService);
    new CompletionRoutes({ ...shared, completions }).attach(this.#callerServer);
    new CallRoutes({ ...shared, calls: container.get(ICallService) }).attach(
      this.#callerServer,
    );
    const health = new HealthRoutes({
      readBlockers: () => this.#readBlockers(),
    });
    health.attach(this.#callerServer);
    health.attach(this.#operatorServer);
    this.#operatorRoutes().attach(this.#operatorServer);
  }

  #operatorRoutes(): OperatorRoutes {
    const container = this.#container;
    return new OperatorRoutes({
      clock: this.#clock,
      log: container.get(ILog),
      metrics: container.get(IMetrics),
      config: container.get(IConfigService),
      journal: container.get(IRequestJournal),
      authenticator: new KeyAuthenticator({
        keys: this.#settings.operatorKeys,
      }),
      hostName: this.name,
      readConfig: (options) => container.get(ConfigService).confirm(options),
      readStatus: () => this.#readStatus(),
      drainHost: (name) => this.#drainHost(name),
    });
  }

  #readBlockers(): string[] {
    const blockers: string[] = [];
    if (this.#state.phase !== "serving") {
      blockers.push(`host is ${this.#state.phase}`);
    }
    if (!this.#container.get(IConfigService).isReady) {
      blockers.push("configuration not confirmed");
    }
    if (!this.#targets.isReady) blockers.push("targets not read");
    return blockers;
  }

  #readStatus(): Readonly<Record<string, unknown>> {
    return readStatus({
      host: this.name,
      phase: this.#state.phase,
      blockers: this.#readBlockers(),
      inFlightCount: this.#gate.inFlightCount,
      config: this.#container.get(IConfigService),
      membership: this.#container.get(IMembership),
      directory: this.#container.get(TargetDirectory),
    });
  }

  async #drainHost(name: string): Promise<Outcome<void>> {
    if (name === this.name) {
      void this.stop();
      return Ok.EMPTY;
    }
    const membership = this.#container.get(IMembership);
    const member = membership.members().find((candidate) =>
      candidate.name === name
    );
    if (member === undefined) {
      return notRun("not-found", `no host is named "${name}"`);
    }
    const deadlineMs = this.#clock.nowMs() + DRAIN_CALL_MS;
    const call = { method: DRAIN_METHOD, parameters: {} };
    const outcome = await this.#container.get(PeerTransport).call(
      member.url,
      call,
      { deadlineMs },
    );
    return outcome.map(() => undefined);
  }
}

function readTls(settings: Settings): TlsMaterial | undefined {
  if (settings.tlsCertificateFile === "") return undefined;
  return {
    certificate: readFileSync(settings.tlsCertificateFile),
    key: readFileSync(settings.tlsKeyFile),
  };
}

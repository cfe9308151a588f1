/**
 * One entry host: its servers, its supervisor tree and its graceful shutdown.
 *
 * @module
 */

import { randomBytes } from "node:crypto";
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
import { PeerTransport } from "../fleet/peer_transport.ts";
import { IMembership } from "../fleet/services.ts";
import { CapacityController } from "../pipelines/capacity_controller.ts";
import { TargetDirectory } from "../pipelines/target_directory.ts";
import { TargetSubset } from "../pipelines/target_subset.ts";
import { createContainer } from "./container.ts";
import { HostState } from "./host_state.ts";
import { readStatus } from "./host_status.ts";
import { startHostTree } from "./host_tree.ts";
import { registerProcessMetrics } from "./process_metrics.ts";
import { TargetReadiness } from "./target_readiness.ts";
import type { Settings } from "./settings.ts";
import { HostServers } from "./host_servers.ts";

const DRAIN_CALL_TIMEOUT_MS = 2_000;
const DRAIN_METHOD = "host.drain";

/** Base URLs of a host's servers. */
export interface HostAddresses {
  readonly callerUrl: string;
  readonly operatorUrl: string;
  readonly peerUrl: string;
}

export interface HostOptions {
  readonly settings: Settings;
  readonly clock?: Clock;
}

/** Starts and stops the servers and tasks of one host. */
export class Host {
  readonly name: string;
  readonly #settings: Settings;
  readonly #clock: Clock;
  readonly #container: Container;
  readonly #state = new HostState();
  readonly #owned = new DisposableStore();
  readonly #servers: HostServers;
  #targets: TargetReadiness | undefined;
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
    this.#servers = new HostServers({
      settings: this.#settings,
      clock: this.#clock,
      container: this.#container,
      hostName: this.name,
      readBlockers: () => this.#readBlockers(),
      readStatus: () => this.#readStatus(),
      drainHost: (name) => this.#drainHost(name),
    });
    this.#owned.add(
      registerProcessMetrics(this.#container.get(IMetrics)),
    );
  }

  /** Opens the ports and starts every task. */
  async start(): Promise<HostAddresses> {
    // Some services announce the peer URL, so they are created after it is known.
    this.#peerUrl = await this.#servers.openPeers();
    this.#container.get(PeerTransport).handle(DRAIN_METHOD, () => {
      void this.stop();
      return null;
    });
    this.#targets = this.#createTargetReadiness();
    this.#tree = startHostTree(this.#container);
    const { callerUrl, operatorUrl } = await this.#servers
      .openOperatorsAndCallers();
    this.#state.advanceTo("serving");
    const addresses = { callerUrl, operatorUrl, peerUrl: this.#peerUrl };
    this.#container.get(ILog).info("listening", { ...addresses });
    return addresses;
  }

  /** Logs that standard output, which only gets the ready line, failed. */
  readonly reportOutputError = (error: Error): void =>
    this.#container.get(ILog).warn("ready line not written", { error });

  /** Shuts down gracefully; aborts requests in flight only after `stopWithinMs`. */
  stop(): Promise<void> {
    this.#stopped ??= this.#stop();
    return this.#stopped;
  }

  async #stop(): Promise<void> {
    const log = this.#container.get(ILog);
    const deadlineMs = this.#clock.nowMs() + this.#settings.stopWithinMs;
    log.info("stopping", { inFlight: this.#servers.inFlightCount });
    this.#state.advanceTo("unready");
    this.#servers.discourageReuse();
    await this.#container.get(IMembership).leave();
    await this.#clock.sleep(this.#settings.unreadyNoticeMs);
    this.#state.advanceTo("finishing");
    await this.#servers.closeCallers(deadlineMs);
    await this.#tree?.stop();
    await this.#servers.closeOperatorsAndPeers();
    await this.#container.unbindAll();
    this.#owned.dispose();
    this.#state.advanceTo("stopped");
    log.info("stopped", { inFlight: this.#servers.inFlightCount });
  }

  #createTargetReadiness(): TargetReadiness {
    return new TargetReadiness({
      clock: this.#clock,
      subset: this.#container.get(TargetSubset),
      directory: this.#container.get(TargetDirectory),
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
    if (this.#targets?.isReady !== true) {
      blockers.push("targets not read");
    }
    return blockers;
  }

  #readStatus(): Readonly<Record<string, unknown>> {
    return readStatus({
      host: this.name,
      phase: this.#state.phase,
      blockers: this.#readBlockers(),
      inFlightCount: this.#servers.inFlightCount,
      config: this.#container.get(ConfigService),
      membership: this.#container.get(IMembership),
      directory: this.#container.get(TargetDirectory),
      capacityController: this.#container.get(CapacityController),
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
      return notRun("not-found", `host "${name}" is not a member`);
    }
    const deadlineMs = this.#clock.nowMs() + DRAIN_CALL_TIMEOUT_MS;
    const call = { method: DRAIN_METHOD, parameters: {} };
    const outcome = await this.#container.get(PeerTransport).call(
      member.url,
      call,
      { deadlineMs },
    );
    return outcome.map(() => undefined);
  }
}

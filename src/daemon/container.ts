/**
 * The container: which class stands behind each service, and with which
 * options. Nothing else in the program constructs a service.
 *
 * @module
 */

import "reflect-metadata";
import { Container, type ResolutionContext } from "inversify";
import { type Clock, systemClock } from "../common/clock.ts";
import { createLog, ILog } from "../common/logging.ts";
import { IMetrics, Metrics } from "../common/metrics.ts";
import {
  type ConfigPeerOptions,
  ConfigService,
} from "../config/config_service.ts";
import { IConfigService } from "../config/services.ts";
import { Dissemination } from "../fleet/dissemination.ts";
import { HostListWatcher } from "../fleet/host_list_watcher.ts";
import { LimitService } from "../fleet/limit_service.ts";
import { Membership } from "../fleet/membership.ts";
import { PeerTransport } from "../fleet/peer_transport.ts";
import {
  IDissemination,
  IHostListWatcher,
  ILimitService,
  IMembership,
  IPeerTransport,
} from "../fleet/services.ts";
import { CapacityKeeper } from "../pipelines/capacity_keeper.ts";
import { ChainPicker } from "../pipelines/chain_picker.ts";
import { LeaseService } from "../pipelines/lease_service.ts";
import { IChainPicker, ITargetDirectory } from "../pipelines/services.ts";
import { TargetDirectory } from "../pipelines/target_directory.ts";
import { TargetSubset } from "../pipelines/target_subset.ts";
import { TargetWatcher } from "../pipelines/target_watcher.ts";
import { WatchAssignment } from "../pipelines/watch_assignment.ts";
import { EngineClient } from "../platform/engine_client.ts";
import { HostListClient } from "../platform/host_list_client.ts";
import { HttpClient } from "../platform/http_client.ts";
import { LogClient } from "../platform/log_client.ts";
import { ServiceClient } from "../platform/service_client.ts";
import {
  IEngineClient,
  IHostListClient,
  ILogClient,
  IServiceClient,
} from "../platform/services.ts";
import { CallService } from "../requests/call_service.ts";
import { ClaimService } from "../requests/claim_service.ts";
import { CompletionService } from "../requests/completion_service.ts";
import { QuarantineService } from "../requests/quarantine_service.ts";
import { RequestJournal } from "../requests/request_journal.ts";
import {
  ICallService,
  IClaimService,
  ICompletionService,
  IQuarantineService,
  IRequestJournal,
} from "../requests/services.ts";
import { ConfigPeers } from "./config_peers.ts";
import type { Settings } from "./settings.ts";

/** What the container needs besides the settings. */
export interface ContainerOptions {
  readonly settings: Settings;
  /** Name of this host, new at each start. */
  readonly hostName: string;
  /** Base URL at which peers reach this host; known once its port is open. */
  readonly peerUrl: () => string;
  readonly clock?: Clock;
}

/** Binds every service, each once for the process. */
export function createContainer(options: ContainerOptions): Container {
  const container = new Container({ defaultScope: "Singleton" });
  const clock = options.clock ?? systemClock;
  bindCommon(container, options);
  bindPlatform(container, options, clock);
  bindFleet(container, options, clock);
  bindPipelines(container, options, clock);
  bindRequests(container, clock);
  return container;
}

function bindCommon(
  container: Container,
  { settings, hostName }: ContainerOptions,
): void {
  container.bind(ILog).toDynamicValue(() => {
    return createLog({ host: hostName, level: settings.logLevel });
  });
  container.bind(IMetrics).toDynamicValue(() => new Metrics());
}

function bindPlatform(
  container: Container,
  options: ContainerOptions,
  clock: Clock,
): void {
  const { settings, hostName } = options;
  container.bind(HttpClient).toDynamicValue(() => new HttpClient({ clock }));
  container.bind(ILogClient).toDynamicValue((context) => {
    return new LogClient({
      baseUrl: settings.logUrl,
      http: context.get(HttpClient),
      clock,
    });
  });
  container.bind(IHostListClient).toDynamicValue((context) => {
    const http = context.get(HttpClient);
    return new HostListClient({ baseUrl: settings.hostListUrl, http, clock });
  });
  container.bind(IEngineClient).toDynamicValue((context) => {
    return new EngineClient({ http: context.get(HttpClient), clock });
  });
  container.bind(IServiceClient).toDynamicValue((context) => {
    return new ServiceClient({ http: context.get(HttpClient), clock });
  });
  container.bind(ConfigService).toDynamicValue((context) => {
    const log = context.get(ILog);
    return new ConfigService({
      log: context.get(ILogClient),
      host: hostName,
      peering: configPeering(context),
      clock,
      onLogFailure: (failure) =>
        log.warn("the log did not answer", { ...failure }),
    });
  });
  container.bind(IConfigService).toService(ConfigService);
}

/** Joins the configuration, a lower layer, to the hosts of the fleet. */
function configPeering(context: ResolutionContext): ConfigPeerOptions {
  const { name, url } = context.get(IMembership).self;
  const transport = context.get(IPeerTransport);
  const hosts = context.get(ConfigPeers);
  return {
    self: { name, url },
    peers: () => hosts.current,
    callPeer: (peerUrl, request, options) =>
      transport.call(peerUrl, request, options),
    handlePeer: (method, handler) => transport.handle(method, handler),
  };
}

function bindFleet(
  container: Container,
  options: ContainerOptions,
  clock: Clock,
): void {
  const { settings, hostName, peerUrl } = options;
  container.bind(PeerTransport).toDynamicValue((context) => {
    const log = context.get(ILog);
    return new PeerTransport({
      selfName: hostName,
      secret: settings.peerSecret,
      clock,
      onHandlerError: (method, error) =>
        log.error("a peer's call failed", { method, error }),
    });
  });
  container.bind(IPeerTransport).toService(PeerTransport);
  container.bind(HostListWatcher).toDynamicValue((context) => {
    return new HostListWatcher({ client: context.get(IHostListClient), clock });
  });
  container.bind(IHostListWatcher).toService(HostListWatcher);
  container.bind(ConfigPeers).toDynamicValue((context) => {
    return new ConfigPeers({
      membership: context.get(IMembership),
      hostList: context.get(IHostListWatcher),
    });
  });
  container.bind(Membership).toDynamicValue((context) => {
    const { failureDomain, region } = settings;
    return new Membership({
      self: { name: hostName, url: peerUrl(), failureDomain, region },
      transport: context.get(IPeerTransport),
      watcher: context.get(IHostListWatcher),
      clock,
    });
  });
  container.bind(IMembership).toService(Membership);
  container.bind(Dissemination).toDynamicValue((context) => {
    return new Dissemination({
      membership: context.get(Membership),
      transport: context.get(IPeerTransport),
      clock,
    });
  });
  container.bind(IDissemination).toService(Dissemination);
  container.bind(LimitService).toDynamicValue((context) => {
    return new LimitService({
      config: context.get(IConfigService),
      membership: context.get(IMembership),
      transport: context.get(IPeerTransport),
      clock,
    });
  });
  container.bind(ILimitService).toService(LimitService);
}

function bindPipelines(
  container: Container,
  options: ContainerOptions,
  clock: Clock,
): void {
  container.bind(TargetDirectory).toDynamicValue((context) => {
    return new TargetDirectory({
      config: context.get(IConfigService),
      dissemination: context.get(IDissemination),
      clock,
    });
  });
  container.bind(ITargetDirectory).toService(TargetDirectory);
  container.bind(TargetSubset).toDynamicValue((context) => {
    return new TargetSubset({
      config: context.get(IConfigService),
      directory: context.get(TargetDirectory),
      membership: context.get(IMembership),
    });
  });
  container.bind(WatchAssignment).toDynamicValue((context) => {
    return new WatchAssignment({
      config: context.get(IConfigService),
      membership: context.get(IMembership),
    });
  });
  container.bind(TargetWatcher).toDynamicValue((context) => {
    const assignment = context.get(WatchAssignment);
    const subset = context.get(TargetSubset);
    return new TargetWatcher({
      config: context.get(IConfigService),
      engines: context.get(IEngineClient),
      directory: context.get(TargetDirectory),
      hostList: context.get(IHostListWatcher),
      clock,
      pollIntervalMs: () => assignment.intervalMs(),
      watches: (target) => assignment.watches(target),
      uses: () => subset.all(),
    });
  });
  container.bind(IChainPicker).toDynamicValue((context) => {
    const subset = context.get(TargetSubset);
    return new ChainPicker({
      config: context.get(IConfigService),
      directory: context.get(TargetDirectory),
      clock,
      subset: (pipeline, targets) => subset.choose(pipeline, targets),
    });
  });
  bindCapacity(container, options, clock);
}

function bindCapacity(
  container: Container,
  options: ContainerOptions,
  clock: Clock,
): void {
  container.bind(LeaseService).toDynamicValue((context) => {
    return new LeaseService({
      log: context.get(ILogClient),
      host: options.hostName,
      clock,
    });
  });
  container.bind(CapacityKeeper).toDynamicValue((context) => {
    const log = context.get(ILog);
    return new CapacityKeeper({
      config: context.get(IConfigService),
      directory: context.get(TargetDirectory),
      engines: context.get(IEngineClient),
      leases: context.get(LeaseService),
      membership: context.get(IMembership),
      clock,
      onOrder: (order) => log.info("an order was sent", { ...order }),
    });
  });
}

function bindRequests(container: Container, clock: Clock): void {
  container.bind(IRequestJournal).toDynamicValue(() =>
    new RequestJournal({ clock })
  );
  container.bind(IQuarantineService).toDynamicValue((context) => {
    return new QuarantineService({
      membership: context.get(IMembership),
      transport: context.get(IPeerTransport),
      dissemination: context.get(IDissemination),
      clock,
    });
  });
  container.bind(ClaimService).toDynamicValue((context) => {
    return new ClaimService({
      log: context.get(ILogClient),
      membership: context.get(IMembership),
      transport: context.get(IPeerTransport),
      clock,
    });
  });
  container.bind(IClaimService).toService(ClaimService);
  container.bind(ICompletionService).toDynamicValue((context) => {
    return new CompletionService({
      config: context.get(IConfigService),
      picker: context.get(IChainPicker),
      engines: context.get(IEngineClient),
      journal: context.get(IRequestJournal),
      quarantine: context.get(IQuarantineService),
      clock,
    });
  });
  container.bind(ICallService).toDynamicValue((context) => {
    return new CallService({
      config: context.get(IConfigService),
      directory: context.get(ITargetDirectory),
      services: context.get(IServiceClient),
      claims: context.get(IClaimService),
      journal: context.get(IRequestJournal),
      clock,
    });
  });
}

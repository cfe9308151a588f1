/**
 * Bindings of what the hosts of the fleet share.
 *
 * @module
 */

import { bindDisposable } from "./bind_disposable.ts";
import { Container } from "inversify";
import { type Clock } from "../../common/clock.ts";
import { ILog } from "../../common/logging.ts";
import { IConfigService } from "../../config/services.ts";
import { Dissemination } from "../../fleet/dissemination.ts";
import { HostListWatcher } from "../../fleet/host_list_watcher.ts";
import { LimitService } from "../../fleet/limit_service.ts";
import { Membership } from "../../fleet/membership.ts";
import { PeerTransport } from "../../fleet/peer_transport.ts";
import {
  IDissemination,
  IHostListWatcher,
  ILimitService,
  IMembership,
  IPeerTransport,
} from "../../fleet/services.ts";
import { IHostListClient } from "../../clients/services.ts";
import { type ContainerOptions } from "./types.ts";
import { ConfigPeers } from "../config_peers.ts";

/** Binds the services shared by hosts. */
export function bindFleet(
  container: Container,
  options: ContainerOptions,
  clock: Clock,
): void {
  const { settings, hostName, peerUrl } = options;
  bindDisposable(container, PeerTransport, (context) => {
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
  bindDisposable(container, HostListWatcher, (context) => {
    return new HostListWatcher({ client: context.get(IHostListClient), clock });
  });
  container.bind(IHostListWatcher).toService(HostListWatcher);
  bindDisposable(container, ConfigPeers, (context) => {
    return new ConfigPeers({
      membership: context.get(IMembership),
      hostList: context.get(IHostListWatcher),
    });
  });
  bindDisposable(container, Membership, (context) => {
    const { failureDomain, region } = settings;
    return new Membership({
      self: { name: hostName, url: peerUrl(), failureDomain, region },
      transport: context.get(IPeerTransport),
      watcher: context.get(IHostListWatcher),
      clock,
    });
  });
  container.bind(IMembership).toService(Membership);
  bindDisposable(container, Dissemination, (context) => {
    return new Dissemination({
      membership: context.get(Membership),
      transport: context.get(IPeerTransport),
      clock,
    });
  });
  container.bind(IDissemination).toService(Dissemination);
  bindDisposable(container, LimitService, (context) => {
    return new LimitService({
      config: context.get(IConfigService),
      membership: context.get(IMembership),
      transport: context.get(IPeerTransport),
      clock,
    });
  });
  container.bind(ILimitService).toService(LimitService);
}

/**
 * Bindings of the platform's and targets' clients and of the configuration.
 *
 * @module
 */

import { bindDisposable } from "./bind_disposable.ts";
import { Container, type ResolutionContext } from "inversify";
import { type Clock } from "../../common/clock.ts";
import { ILog } from "../../common/logging.ts";
import {
  type ConfigPeerOptions,
  ConfigService,
} from "../../config/config_service.ts";
import { IConfigService } from "../../config/services.ts";
import { IMembership, IPeerTransport } from "../../fleet/services.ts";
import { EngineClient } from "../../clients/engine_client.ts";
import { HostListClient } from "../../clients/host_list_client.ts";
import { HttpClient } from "../../clients/http_client.ts";
import { LogClient } from "../../clients/log_client.ts";
import { ServiceClient } from "../../clients/service_client.ts";
import {
  IEngineClient,
  IHostListClient,
  ILogClient,
  IServiceClient,
} from "../../clients/services.ts";
import { type ContainerOptions } from "./types.ts";
import { ConfigPeers } from "../config_peers.ts";

/** Binds the clients and the configuration. */
export function bindPlatform(
  container: Container,
  options: ContainerOptions,
  clock: Clock,
): void {
  const { settings, hostName } = options;
  bindDisposable(container, HttpClient, () => new HttpClient({ clock }));
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
  bindDisposable(container, ConfigService, (context) => {
    const log = context.get(ILog);
    return new ConfigService({
      log: context.get(ILogClient),
      host: hostName,
      peering: configPeering(context),
      clock,
      onLogFailure: (failure) =>
        log.warn("the log did not answer", { failure }),
    });
  });
  container.bind(IConfigService).toService(ConfigService);
}

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

/**
 * Bindings of chains, targets and capacity.
 *
 * @module
 */

import { bindDisposable } from "./bind_disposable.ts";
import { Container } from "inversify";
import { type Clock } from "../../common/clock.ts";
import { ILog } from "../../common/logging.ts";
import { IConfigService } from "../../config/services.ts";
import {
  IDissemination,
  IHostListWatcher,
  IMembership,
} from "../../fleet/services.ts";
import { CapacityController } from "../../pipelines/capacity_controller.ts";
import { ChainPicker } from "../../pipelines/chain_picker.ts";
import { LeaseService } from "../../pipelines/lease_service.ts";
import { IChainPicker, ITargetDirectory } from "../../pipelines/services.ts";
import { TargetDirectory } from "../../pipelines/target_directory.ts";
import { TargetSubset } from "../../pipelines/target_subset.ts";
import { TargetWatcher } from "../../pipelines/target_watcher.ts";
import { WatchAssignment } from "../../pipelines/watch_assignment.ts";
import { IEngineClient, ILogClient } from "../../clients/services.ts";
import { type ContainerOptions } from "./types.ts";

/** Binds the services of pipelines. */
export function bindPipelines(
  container: Container,
  options: ContainerOptions,
  clock: Clock,
): void {
  bindDisposable(container, TargetDirectory, (context) => {
    const assignment = context.get(WatchAssignment);
    return new TargetDirectory({
      config: context.get(IConfigService),
      dissemination: context.get(IDissemination),
      clock,
      publishesState: (target) => assignment.watches(target),
    });
  });
  container.bind(ITargetDirectory).toService(TargetDirectory);
  bindDisposable(container, TargetSubset, (context) => {
    return new TargetSubset({
      config: context.get(IConfigService),
      directory: context.get(TargetDirectory),
      membership: context.get(IMembership),
    });
  });
  bindDisposable(container, WatchAssignment, (context) => {
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
  bindDisposable(container, ChainPicker, (context) => {
    const subset = context.get(TargetSubset);
    return new ChainPicker({
      config: context.get(IConfigService),
      directory: context.get(TargetDirectory),
      clock,
      subset: (pipeline, targets) => subset.select(pipeline, targets),
    });
  });
  container.bind(IChainPicker).toService(ChainPicker);
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
  container.bind(CapacityController).toDynamicValue((context) => {
    const log = context.get(ILog);
    return new CapacityController({
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

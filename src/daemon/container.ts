/**
 * The dependency injection container, which binds each service to a class and
 * its options. All services are constructed here; `unbindAll` disposes them.
 *
 * @module
 */

import "reflect-metadata";
import { Container } from "inversify";
import { systemClock } from "../common/clock.ts";
import { createLog, ILog } from "../common/logging.ts";
import { IMetrics, Metrics } from "../common/metrics.ts";
import { bindFleet } from "./bindings/fleet_bindings.ts";
import { bindPipelines } from "./bindings/pipelines_bindings.ts";
import { bindPlatform } from "./bindings/platform_bindings.ts";
import { bindRequests } from "./bindings/requests_bindings.ts";
import type { ContainerOptions } from "./bindings/types.ts";

/** Binds every service as a singleton. */
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
  container.bind(ILog).toDynamicValue((context) => {
    return createLog({
      host: hostName,
      level: settings.logLevel,
      onDrop: (cause) =>
        context.get(IMetrics)
          .count("jackdawshift_log_lines_dropped_total", { cause }),
    });
  });
  container.bind(IMetrics).toDynamicValue(() => new Metrics());
}

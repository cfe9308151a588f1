/**
 * The supervisor tree of one host: which long-running tasks there are and
 * under which supervisor each runs.
 *
 * @module
 */

import type { Container } from "inversify";
import { ILog } from "../common/logging.ts";
import { IMetrics } from "../common/metrics.ts";
import { Supervisor, type Task } from "../common/supervisor.ts";
import { ConfigService } from "../config/config_service.ts";
import { Dissemination } from "../fleet/dissemination.ts";
import { HostListWatcher } from "../fleet/host_list_watcher.ts";
import { LimitService } from "../fleet/limit_service.ts";
import { Membership } from "../fleet/membership.ts";
import { CapacityController } from "../pipelines/capacity_controller.ts";
import { QuarantineService } from "../requests/quarantine_service.ts";
import { TargetWatcher } from "../pipelines/target_watcher.ts";

interface RunnableService {
  run(signal: AbortSignal): Promise<void>;
}

/** Starts every task and returns the root, which stops them. */
export function startHostTree(container: Container): Supervisor {
  const log = container.get(ILog);
  const metrics = container.get(IMetrics);
  const root = new Supervisor({ name: "host" });
  root.onFailure(({ task, error, backOffMs }) => {
    log.error("a task failed and is started again", { task, error, backOffMs });
    metrics.count("jackdawshift_task_failures_total", { task });
  });
  const platform = root.child("platform");
  platform.start("config", taskOf(container.get(ConfigService)));
  platform.start("host-list", taskOf(container.get(HostListWatcher)));
  const fleet = root.child("fleet");
  fleet.start("membership", taskOf(container.get(Membership)));
  fleet.start("dissemination", taskOf(container.get(Dissemination)));
  fleet.start("limits", taskOf(container.get(LimitService)));
  const quarantine = container.get(QuarantineService);
  root.child("requests").start("quarantine", () => quarantine.start());
  const pipelines = root.child("pipelines");
  pipelines.start("targets", taskOf(container.get(TargetWatcher)));
  pipelines.start("capacity", taskOf(container.get(CapacityController)));
  return root;
}

function taskOf(service: RunnableService): Task {
  return (signal) => service.run(signal);
}

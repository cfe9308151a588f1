/**
 * What an operator sees of a host at one moment.
 *
 * @module
 */

import type { ConfigService } from "../config/config_service.ts";
import type { IMembership } from "../fleet/services.ts";
import type { CapacityController } from "../pipelines/capacity_controller.ts";
import { pools } from "../pipelines/placement.ts";
import type { TargetDirectory } from "../pipelines/target_directory.ts";

/** Where the status is read from. */
export interface HostStatusSources {
  readonly host: string;
  readonly phase: string;
  readonly blockers: readonly string[];
  readonly inFlightCount: number;
  readonly config: ConfigService;
  readonly membership: IMembership;
  readonly directory: TargetDirectory;
  readonly capacityController: CapacityController;
}

/** Collects the status as a JSON document. */
export function readStatus(
  sources: HostStatusSources,
): Readonly<Record<string, unknown>> {
  const { config, membership } = sources;
  return {
    host: sources.host,
    phase: sources.phase,
    ready: sources.blockers.length === 0,
    blockers: sources.blockers,
    configVersion: config.state.version,
    configPendingVersion: config.status.pendingVersion,
    configAgeMs: config.status.ageMs,
    configOffset: config.state.offset,
    requestsInFlight: sources.inFlightCount,
    members: membership.members(),
    blockedTargets: blockedTargets(sources),
    targets: Object.keys(config.state.config.targets).map((name) =>
      targetStatus(name, sources)
    ),
  };
}

function targetStatus(name: string, { directory }: HostStatusSources) {
  const state = directory.engineState(name);
  return {
    name,
    state: targetState(name, directory),
    ...(state === undefined ? {} : {
      span: `${state.first}-${state.end}`,
      version: state.version,
      generation: state.generation,
      running: state.load.running,
      queued: state.load.queued,
    }),
  };
}

function targetState(name: string, directory: TargetDirectory): string {
  if (directory.isLeaving(name)) return "leaving";
  return directory.acceptsNewWork(name) ? "serving" : "silent";
}

/** Targets that cannot be reloaded without a gap, as this host's keeper sees it. */
function blockedTargets(
  { config, capacityController: capacityController }: HostStatusSources,
): string[] {
  return pools(config.state.config).flatMap((pool) => {
    return [...capacityController.blockedTargets(pool.name)];
  });
}

/**
 * Whether a host tells the load balancer to send callers to it.
 *
 * @module
 */

import type { ILog } from "../common/logging.ts";
import type { KeyedFollower } from "../feeds/keyed_follower.ts";
import type { TargetTable } from "../paths/target_table.ts";
import type { ConfigTracker } from "./config_tracker.ts";

/**
 * At this configuration age the host becomes not ready, so that the load
 * balancer moves callers before they are rejected.
 */
const MAX_READY_CONFIG_AGE_MS = 2_500;

export interface HostReadinessOptions {
  readonly log: ILog;
  readonly isStopping: () => boolean;
  readonly config: Pick<ConfigTracker, "table">;
  /** Follows the log of configurations. */
  readonly feed: Pick<KeyedFollower, "ageMs" | "isSourceReachable">;
  readonly targets: Pick<TargetTable, "all">;
}

export class HostReadiness {
  readonly #options: HostReadinessOptions;
  #wasReady = false;

  constructor(options: HostReadinessOptions) {
    this.#options = options;
  }

  /** Logs changes since the last call. */
  isReady(): boolean {
    const { feed, config, log, ...options } = this.#options;
    const configAgeMs = feed.ageMs;
    const targets = options.targets.all().length;
    const isStopping = options.isStopping();
    const isReady = !isStopping && config.table !== undefined &&
      feed.isSourceReachable && configAgeMs < MAX_READY_CONFIG_AGE_MS &&
      targets > 0;
    if (isReady !== this.#wasReady) {
      this.#wasReady = isReady;
      log.info(isReady ? "host ready" : "host not ready", {
        isStopping,
        configAgeMs: Math.round(configAgeMs),
        targets,
      });
    }
    return isReady;
  }
}

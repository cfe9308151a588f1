/**
 * Whether a host tells the load balancer to send callers to it.
 *
 * @module
 */

import type { ILog } from "../common/logging.ts";

/**
 * At this configuration age the host becomes not ready, so that the load
 * balancer moves callers before they are rejected.
 */
const MAX_READY_CONFIG_AGE_MS = 2_500;

export interface HostReadinessOptions {
  readonly log: ILog;
  readonly isStopping: () => boolean;
  readonly hasConfig: () => boolean;
  readonly configAgeMs: () => number;
  readonly isConfigSourceReachable: () => boolean;
  readonly targetCount: () => number;
}

export class HostReadiness {
  readonly #options: HostReadinessOptions;
  #wasReady = false;

  constructor(options: HostReadinessOptions) {
    this.#options = options;
  }

  /** Logs changes since the last call. */
  isReady(): boolean {
    const options = this.#options;
    const configAgeMs = options.configAgeMs();
    const targets = options.targetCount();
    const isStopping = options.isStopping();
    const isReady = !isStopping && options.hasConfig() &&
      options.isConfigSourceReachable() &&
      configAgeMs < MAX_READY_CONFIG_AGE_MS && targets > 0;
    if (isReady !== this.#wasReady) {
      this.#wasReady = isReady;
      options.log.info(isReady ? "host ready" : "host not ready", {
        isStopping,
        configAgeMs: Math.round(configAgeMs),
        targets,
      });
    }
    return isReady;
  }
}

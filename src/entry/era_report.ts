/**
 * Logs and counts the changes of the store's era.
 *
 * @module
 */

import type { IMetrics } from "../common/bucket_metrics.ts";
import type { ILog } from "../common/logging.ts";
import type { EraTracker } from "../feeds/era_tracker.ts";

export interface EraReportOptions {
  readonly eras: Pick<EraTracker, "onAdvance">;
  readonly metrics: Pick<IMetrics, "count">;
  readonly log: ILog;
  /** Version in force at this host; undefined before the first. */
  readonly configVersion: () => number | undefined;
  readonly configAgeMs: () => number;
}

export function reportEraChanges(
  { eras, metrics, log, configVersion, configAgeMs }: EraReportOptions,
): void {
  eras.onAdvance(({ from, to, source }) => {
    if (from === undefined) {
      log.info("store era known", { era: to, source });
      return;
    }
    metrics.count("jackdawshift_store_era_changes_total");
    log.warn("store era changed", {
      from,
      to,
      source,
      configVersion: configVersion(),
      configAgeMs: Math.round(configAgeMs()),
    });
  });
}

/**
 * Logs and counts the changes of the store's era.
 *
 * @module
 */

import type { IMetrics } from "../common/bucket_metrics.ts";
import type { ILog } from "../common/logging.ts";
import type { EraTracker } from "../feeds/era_tracker.ts";
import type { ConfigTracker } from "./config_tracker.ts";
import type { StoreFeeds } from "./store_feeds.ts";

export interface EraReportOptions {
  readonly eras: Pick<EraTracker, "onAdvance">;
  readonly metrics: Pick<IMetrics, "count">;
  readonly log: ILog;
  readonly config: Pick<ConfigTracker, "table">;
  readonly feeds: Pick<StoreFeeds, "config">;
}

export function reportEraChanges(
  { eras, metrics, log, config, feeds }: EraReportOptions,
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
      configVersion: config.table?.config.version,
      configAgeMs: Math.round(feeds.config.ageMs),
    });
  });
}

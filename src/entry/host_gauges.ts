/**
 * The gauges of a host: what it knows and does at the moment of a scrape.
 *
 * @module
 */

import { getHeapStatistics } from "node:v8";
import type { ContentQuarantine } from "../admission/content_quarantine.ts";
import type { BucketMetrics } from "../common/bucket_metrics.ts";
import type { EraTracker } from "../feeds/era_tracker.ts";
import type { RequestHandler } from "../forward/request_handler.ts";
import type { TargetLimits } from "../paths/target_limits.ts";
import type { TargetReachability } from "../paths/target_reachability.ts";
import type { TargetTable } from "../paths/target_table.ts";
import type { ConfigTracker } from "./config_tracker.ts";
import type { DemandExchange } from "./demand_exchange.ts";
import type { PeerExchange } from "./peer_exchange.ts";
import type { StoreFeeds } from "./store_feeds.ts";

export interface GaugeSources {
  readonly core: Pick<RequestHandler, "active" | "bodyBytes">;
  readonly feeds: Pick<StoreFeeds, "config">;
  readonly config: Pick<ConfigTracker, "table">;
  readonly eras: Pick<EraTracker, "current">;
  readonly targets: TargetTable;
  readonly reachability: Pick<TargetReachability, "cutOffServices">;
  readonly limits: TargetLimits;
  readonly peers: Pick<PeerExchange, "hostCount">;
  readonly quarantine: ContentQuarantine;
  readonly admission: DemandExchange;
}

export function registerGauges(
  metrics: BucketMetrics,
  sources: GaugeSources,
): void {
  const { targets, limits, quarantine } = sources;
  const gauges: [string, () => number][] = [
    ["jackdawshift_requests_active", () => sources.core.active],
    ["jackdawshift_config_age_ms", () => sources.feeds.config.ageMs],
    [
      "jackdawshift_config_version",
      () => sources.config.table?.config.version ?? 0,
    ],
    ["jackdawshift_store_era", () => sources.eras.current ?? 0],
    ["jackdawshift_targets_known", () => targets.all().length],
    [
      "jackdawshift_services_cut_off",
      () => sources.reachability.cutOffServices().length,
    ],
    [
      "jackdawshift_targets_unresponsive",
      () =>
        targets.all().filter((one) => one.noResponseSinceMs !== undefined)
          .length,
    ],
    [
      "jackdawshift_targets_suspected",
      () => targets.all().filter((one) => one.isSuspect).length,
    ],
    ["jackdawshift_targets_limited", () => limits.limitedCount],
    ["jackdawshift_peers_live", () => sources.peers.hostCount - 1],
    [
      "jackdawshift_contents_quarantined",
      () => quarantine.losses.quarantinedCount,
    ],
    ["jackdawshift_contents_held", () => quarantine.breaks.quarantinedCount],
    [
      "jackdawshift_services_restricted",
      () => sources.admission.level.restricted().length,
    ],
    [
      "jackdawshift_fleet_waiting_requests",
      () => sources.admission.fleetWaiting(),
    ],
    ["jackdawshift_request_body_bytes", () => sources.core.bodyBytes],
    ["jackdawshift_resident_bytes", () => process.memoryUsage.rss()],
    ["jackdawshift_heap_used_bytes", () => getHeapStatistics().used_heap_size],
    [
      "jackdawshift_heap_limit_bytes",
      () => getHeapStatistics().heap_size_limit,
    ],
    [
      "jackdawshift_external_bytes",
      () => getHeapStatistics().external_memory,
    ],
  ];
  for (const [name, read] of gauges) metrics.gauge(name, read);
}

/**
 * The gauges of a host: what it knows and does at the moment of a scrape.
 *
 * @module
 */

import { getHeapStatistics } from "node:v8";
import type { ContentQuarantine } from "../admission/content_quarantine.ts";
import type { BucketMetrics } from "../common/bucket_metrics.ts";
import type { TargetLimits } from "../paths/target_limits.ts";
import type { TargetTable } from "../paths/target_table.ts";
import type { DemandExchange } from "./demand_exchange.ts";

export interface GaugeSources {
  /** Requests in progress. */
  readonly active: () => number;
  /** Memory that the bodies of requests take. */
  readonly bodyBytes: () => number;
  readonly configAgeMs: () => number;
  readonly configVersion: () => number;
  readonly era: () => number;
  readonly targets: TargetTable;
  /** Number of services from whose targets the host is cut off. */
  readonly cutOffServices: () => number;
  readonly limits: TargetLimits;
  /** Live hosts, this one included. */
  readonly hostCount: () => number;
  readonly quarantine: ContentQuarantine;
  readonly admission: DemandExchange;
}

export function registerGauges(
  metrics: BucketMetrics,
  sources: GaugeSources,
): void {
  const { targets, limits, quarantine } = sources;
  const gauges: [string, () => number][] = [
    ["jackdawshift_requests_active", sources.active],
    ["jackdawshift_config_age_ms", sources.configAgeMs],
    ["jackdawshift_config_version", sources.configVersion],
    ["jackdawshift_store_era", sources.era],
    ["jackdawshift_targets_known", () => targets.all().length],
    ["jackdawshift_services_cut_off", sources.cutOffServices],
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
    ["jackdawshift_peers_live", () => sources.hostCount() - 1],
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
    ["jackdawshift_request_body_bytes", sources.bodyBytes],
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

/**
 * Counts the calls that a host makes to control targets. Each is charged, so
 * their number is watched by kind and purpose.
 *
 * @module
 */

import type { IMetrics } from "../common/bucket_metrics.ts";
import type { QueryPurpose } from "../ports/services.ts";

export interface ControlCall {
  /** `probe` and `port` open a new connection. */
  readonly call: "report" | "probe" | "port" | "order";
  readonly purpose: QueryPurpose | "repath" | "failed-send";
}

export function countControlCall(
  metrics: Pick<IMetrics, "count"> | undefined,
  { call, purpose }: ControlCall,
): void {
  metrics?.count("jackdawshift_control_calls_total", { call, purpose });
}

/**
 * Compares the estimated time to the first event of a path with the observed one.
 *
 * @module
 */

import type { IMetrics } from "../common/bucket_metrics.ts";
import type { ReservedPath } from "../paths/path_chooser.ts";

/**
 * Ends the prefill work of the path, and records the error of its estimate
 * beside the observed time. Does nothing for later events and after a repath.
 */
export function recordFirstEvent(
  path: ReservedPath | undefined,
  metrics: Pick<IMetrics, "record">,
): void {
  const observedMs = path?.recordFirstEvent();
  if (path === undefined || observedMs === undefined) return;
  metrics.record("jackdawshift_first_event_observed_ms", observedMs);
  const errorMs = observedMs - path.firstEventMs;
  metrics.record("jackdawshift_first_event_error_ms", Math.abs(errorMs), {
    estimate: errorMs > 0 ? "early" : "late",
  });
}

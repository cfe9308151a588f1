/**
 * Gauges of the process itself, under the names that Prometheus clients use.
 *
 * @module
 */

import { type IntervalHistogram, monitorEventLoopDelay } from "node:perf_hooks";
import process from "node:process";
import { type Disposable, toDisposable } from "../common/lifecycle.ts";
import type { IMetrics } from "../common/metrics.ts";

const MICROS_PER_SECOND = 1_000_000;
const NANOS_PER_MS = 1_000_000;
const DELAY_RESOLUTION_MS = 10;

/** Registers the gauges; disposing the result stops their measuring. */
export function registerProcessMetrics(metrics: IMetrics): Disposable {
  const delay = monitorEventLoopDelay({ resolution: DELAY_RESOLUTION_MS });
  delay.enable();
  metrics.gauge("process_cpu_seconds_total", cpuSeconds);
  metrics.gauge(
    "process_resident_memory_bytes",
    () => process.memoryUsage.rss(),
  );
  metrics.gauge(
    "jackdawshift_event_loop_delay_p99_ms",
    () => readDelayMs(delay),
  );
  return toDisposable(() => delay.disable());
}

function cpuSeconds(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROS_PER_SECOND;
}

function readDelayMs(delay: IntervalHistogram): number {
  const p99Ms = delay.percentile(99) / NANOS_PER_MS;
  delay.reset();
  return p99Ms;
}

/**
 * Opens streams from several threads and merges their reports.
 *
 * @module
 */

import { Worker } from "node:worker_threads";
import type { StreamReport, StreamWorkload } from "./types.ts";

/** Merged reports; `percentile` is between 0 and 100. */
export interface StreamStatistics {
  readonly startedCount: number;
  readonly completeCount: number;
  readonly tokenCount: number;
  firstTokenMs(percentile: number): number;
  gapMs(percentile: number): number;
}

/** Runs the workload on all threads; its rate is divided among them. */
export async function openStreams(
  workload: StreamWorkload,
  options: { readonly threadCount: number },
): Promise<StreamStatistics> {
  const { threadCount } = options;
  const reports = await Promise.all(
    Array.from({ length: threadCount }, (_unused, index) =>
      runThread({
        ...workload,
        streamsPerS: workload.streamsPerS / threadCount,
        seed: workload.seed + index,
      })),
  );
  const firstTokens = mergeSorted(reports.map((report) => report.firstTokenUs));
  const gaps = mergeSorted(reports.map((report) => report.gapUs));
  return {
    startedCount: sum(reports.map((report) => report.startedCount)),
    completeCount: sum(reports.map((report) => report.completeCount)),
    tokenCount: sum(reports.map((report) => report.tokenCount)),
    firstTokenMs: (percentile) => percentileOf(firstTokens, percentile) / 1_000,
    gapMs: (percentile) => percentileOf(gaps, percentile) / 1_000,
  };
}

function runThread(workload: StreamWorkload): Promise<StreamReport> {
  return new Promise((resolve, reject) => {
    const worker = new Worker(new URL("./stream_worker.js", import.meta.url), {
      workerData: workload,
    });
    worker.once("message", resolve);
    worker.once("error", reject);
  });
}

function mergeSorted(parts: readonly Float64Array[]): Float64Array {
  const merged = new Float64Array(sum(parts.map((part) => part.length)));
  let at = 0;
  for (const part of parts) {
    merged.set(part, at);
    at += part.length;
  }
  return merged.sort();
}

function percentileOf(sorted: Float64Array, percentile: number): number {
  const index = Math.ceil(sorted.length * percentile / 100) - 1;
  return sorted[Math.max(0, index)] ?? Number.NaN;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

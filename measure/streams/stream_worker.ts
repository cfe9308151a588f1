/**
 * Worker thread that opens streams at planned times. It reads them as raw bytes,
 * so that reading costs less than the system under measurement.
 *
 * @module
 */

import { Agent, request as httpRequest } from "node:http";
import { parentPort, workerData } from "node:worker_threads";
import { systemClock } from "../../src/common/clock.ts";
import { seededRandom } from "../../src/common/random.ts";
import type { StreamReport, StreamWorkload } from "./types.ts";

const MICROS_PER_MS = 1_000;

const workload = workerData as StreamWorkload;
const random = seededRandom(workload.seed);
const agent = new Agent({ keepAlive: true, maxSockets: Infinity });
const firstTokenUs: number[] = [];
const gapUs: number[] = [];
let startedCount = 0;
let completeCount = 0;
let tokenCount = 0;

const startMs = performance.now();
const pending: Promise<void>[] = [];
let dueMs = nextGapMs();
while (dueMs < workload.durationMs) {
  const waitMs = startMs + dueMs - performance.now();
  if (waitMs > 0) await systemClock.sleep(waitMs);
  pending.push(openStream(startMs + dueMs, dueMs >= workload.warmUpMs));
  dueMs += nextGapMs();
}
await Promise.all(pending);
agent.destroy();
const report: StreamReport = {
  startedCount,
  completeCount,
  tokenCount,
  firstTokenUs: Float64Array.from(firstTokenUs),
  gapUs: Float64Array.from(gapUs),
};
parentPort?.postMessage(report);

function nextGapMs(): number {
  return -Math.log(1 - random()) * 1_000 / workload.streamsPerS;
}

function openStream(plannedMs: number, isMeasured: boolean): Promise<void> {
  startedCount++;
  return new Promise((resolve) => {
    const request = httpRequest(workload.url, {
      method: "POST",
      agent,
      headers: workload.headers,
    });
    request.on("response", (response) => {
      let lastMs = plannedMs;
      let isFirst = true;
      let tail = "";
      response.on("data", (chunk: Buffer) => {
        const nowMs = performance.now();
        if (isMeasured) {
          (isFirst ? firstTokenUs : gapUs).push(
            (nowMs - lastMs) * MICROS_PER_MS,
          );
        }
        isFirst = false;
        lastMs = nowMs;
        tokenCount += countOf(chunk, workload.tokenMarker);
        tail = chunk.subarray(-workload.endMarker.length - 8).toString(
          "latin1",
        );
      });
      response.on("end", () => {
        if (tail.includes(workload.endMarker)) completeCount++;
        resolve();
      });
      response.on("error", () => resolve());
    });
    request.on("error", () => resolve());
    request.end(workload.body);
  });
}

function countOf(chunk: Buffer, marker: string): number {
  let count = 0;
  for (
    let at = chunk.indexOf(marker);
    at >= 0;
    at = chunk.indexOf(marker, at + 1)
  ) count++;
  return count;
}

/**
 * A thread that opens streams at planned times and reads them as bytes, so
 * that the reader costs less than what it measures.
 *
 * @module
 */

import { Agent, request as httpRequest } from "node:http";
import { parentPort, workerData } from "node:worker_threads";
import { systemClock } from "../../src/common/clock.ts";
import { seededRandom } from "../../src/common/random.ts";
import type { StreamOrder, StreamReport } from "./types.ts";

const MICROS_A_MS = 1_000;

const order = workerData as StreamOrder;
const random = seededRandom(order.seed);
const agent = new Agent({ keepAlive: true, maxSockets: Infinity });
const firstTokenUs: number[] = [];
const gapUs: number[] = [];
let startedCount = 0;
let wholeCount = 0;
let tokenCount = 0;

const startMs = performance.now();
const pending: Promise<void>[] = [];
let dueMs = nextGapMs();
while (dueMs < order.durationMs) {
  const waitMs = startMs + dueMs - performance.now();
  if (waitMs > 0) await systemClock.sleep(waitMs);
  pending.push(openStream(startMs + dueMs, dueMs >= order.warmUpMs));
  dueMs += nextGapMs();
}
await Promise.all(pending);
agent.destroy();
const report: StreamReport = {
  startedCount,
  wholeCount,
  tokenCount,
  firstTokenUs: Float64Array.from(firstTokenUs),
  gapUs: Float64Array.from(gapUs),
};
parentPort?.postMessage(report);

function nextGapMs(): number {
  return -Math.log(1 - random()) * 1_000 / order.streamsPerS;
}

function openStream(plannedMs: number, counts: boolean): Promise<void> {
  startedCount++;
  return new Promise((resolve) => {
    const request = httpRequest(order.url, {
      method: "POST",
      agent,
      headers: order.headers,
    });
    request.on("response", (response) => {
      let lastMs = plannedMs;
      let isFirst = true;
      let tail = "";
      response.on("data", (chunk: Buffer) => {
        const nowMs = performance.now();
        if (counts) {
          (isFirst ? firstTokenUs : gapUs).push((nowMs - lastMs) * MICROS_A_MS);
        }
        isFirst = false;
        lastMs = nowMs;
        tokenCount += countOf(chunk, order.tokenMark);
        tail = chunk.subarray(-order.endMark.length - 8).toString("latin1");
      });
      response.on("end", () => {
        if (tail.includes(order.endMark)) wholeCount++;
        resolve();
      });
      response.on("error", () => resolve());
    });
    request.on("error", () => resolve());
    request.end(order.body);
  });
}

function countOf(chunk: Buffer, mark: string): number {
  let count = 0;
  for (
    let at = chunk.indexOf(mark);
    at >= 0;
    at = chunk.indexOf(mark, at + 1)
  ) count++;
  return count;
}

/**
 * Measures the cost of claims: appends per second, latency, messages, bytes and
 * CPU time by claims per second and hosts, with claims grouped by partition or
 * appended individually; and memory per key. Time is virtual, so latency follows
 * from the simulated delays and not from this machine. CPU time is real and
 * includes the fakes.
 *
 * @module
 */

import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { ClaimLedger } from "../src/requests/claim_ledger.ts";
import type { ClaimPolicy } from "../src/requests/claim_router.ts";
import { claimFleet } from "../test/requests_claims.ts";

const SEED = 41;
const HOST_COUNTS = [9, 100, 400];
const CLAIMS_PER_S = [10, 50, 200, 800];
const RUN_S = 5;
const TICK_MS = 5;
const KEY_COUNTS = [25_000, 50_000, 100_000, 200_000];

/** Every host appends each of its claims individually. */
const UNGROUPED: Partial<ClaimPolicy> = {
  batchIntervalMs: 0,
  maxBatchSize: 1,
  batchedAppendsPerS: 1e9,
  fallbackAppendsPerS: 1e9,
};

interface Cost {
  readonly appendsPerS: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly rejectedShare: number;
  readonly messagesPerClaim: number;
  readonly bytesPerClaim: number;
  readonly cpuMsPerClaim: number;
}

export async function run(): Promise<void> {
  const startMs = performance.now();
  console.log(`seed ${SEED}, ${RUN_S} s of virtual time a row`);
  console.log(
    "\n| way | hosts | claims/s | appends/s | p50 ms | p95 ms | refused | messages/claim | bytes/claim | processor ms/claim |",
  );
  console.log("| --- " + "| ---: ".repeat(9) + "|");
  for (const hostCount of HOST_COUNTS) {
    for (const claimsPerS of CLAIMS_PER_S) {
      await printRow("grouped", { hostCount, claimsPerS });
    }
  }
  for (const claimsPerS of CLAIMS_PER_S) {
    await printRow("each by itself", { hostCount: 9, claimsPerS });
  }
  printMemory();
  const tookS = (performance.now() - startMs) / 1_000;
  console.log(`\nrun time ${tookS.toFixed(0)} s`);
}

async function printRow(
  mode: "grouped" | "each by itself",
  size: { hostCount: number; claimsPerS: number },
): Promise<void> {
  const cost = await measure(mode, size);
  const cells = [
    mode,
    size.hostCount,
    size.claimsPerS,
    cost.appendsPerS.toFixed(0),
    cost.p50Ms.toFixed(0),
    cost.p95Ms.toFixed(0),
    `${(100 * cost.rejectedShare).toFixed(1)}%`,
    cost.messagesPerClaim.toFixed(2),
    cost.bytesPerClaim.toFixed(0),
    cost.cpuMsPerClaim.toFixed(2),
  ];
  console.log(`| ${cells.join(" | ")} |`);
}

async function measure(
  mode: "grouped" | "each by itself",
  size: { hostCount: number; claimsPerS: number },
): Promise<Cost> {
  const isGrouped = mode === "grouped";
  const fleet = claimFleet({
    seed: SEED,
    hostCount: size.hostCount,
    policy: isGrouped ? undefined : UNGROUPED,
  });
  if (!isGrouped) fleet.split((at) => at);
  const { clock, hosts, log, network, random } = fleet;
  const waitsMs: number[] = [];
  let claimCount = 0;
  let rejectedCount = 0;
  const cpuBefore = process.cpuUsage();
  let due = 0;
  for (let atMs = 0; atMs < RUN_S * 1_000; atMs += TICK_MS) {
    for (due += size.claimsPerS * TICK_MS / 1_000; due >= 1; due -= 1) {
      void acquireClaim(`${claimCount++}`);
    }
    await clock.advance(TICK_MS);
  }
  await clock.advance(3_000);
  const cpu = process.cpuUsage(cpuBefore);
  async function acquireClaim(idempotencyKey: string): Promise<void> {
    const { claims } = hosts[Math.floor(random() * hosts.length)];
    const requestedAtMs = clock.nowMs();
    const outcome = await claims.acquire(
      { customer: "ferias", service: "mostrador", idempotencyKey },
      { deadlineMs: requestedAtMs + 10_000 },
    );
    waitsMs.push(clock.nowMs() - requestedAtMs);
    if (outcome.isErr()) return void (rejectedCount += 1);
    await clock.sleep(100);
    outcome.value.settle("ran");
  }
  waitsMs.sort((a, b) => a - b);
  return {
    appendsPerS: log.appendedAtMs.length / RUN_S,
    p50Ms: waitsMs[Math.floor(0.5 * waitsMs.length)],
    p95Ms: waitsMs[Math.floor(0.95 * waitsMs.length)],
    rejectedShare: rejectedCount / claimCount,
    messagesPerClaim: 2 * network.callCount / claimCount,
    bytesPerClaim: (network.byteCount + log.byteCount) / claimCount,
    cpuMsPerClaim: (cpu.user + cpu.system) / 1_000 / claimCount,
  };
}

function printMemory(): void {
  setFlagsFromString("--expose-gc");
  const collectGarbage = runInNewContext("gc") as () => void;
  console.log("\n| keys in a ledger | bytes | bytes/key |");
  console.log("| ---: | ---: | ---: |");
  const points: [number, number][] = [];
  const retained: ClaimLedger[] = [];
  for (const keyCount of KEY_COUNTS) {
    collectGarbage();
    const before = process.memoryUsage().heapUsed;
    const ledger = filledLedger(keyCount);
    retained.push(ledger);
    collectGarbage();
    const bytes = process.memoryUsage().heapUsed - before;
    points.push([ledger.size, bytes]);
    const perKey = (bytes / ledger.size).toFixed(0);
    console.log(`| ${ledger.size} | ${bytes} | ${perKey} |`);
  }
  const { slope, intercept, residual } = fit(points);
  console.log(
    `fit: ${slope.toFixed(0)} bytes per key + ${intercept.toFixed(0)} bytes, ` +
      `largest residual ${(100 * residual).toFixed(1)}%`,
  );
}

function filledLedger(keyCount: number): ClaimLedger {
  const ledger = new ClaimLedger({ windowMs: 900_000 });
  for (let at = 0; at < keyCount; at += 1) {
    const id = String(at).padStart(16, "x");
    const op = {
      kind: "claim",
      key: `${id}abcdef`,
      claimId: id,
      holder: `host-${at % 400}`,
      lastsMs: 10_000,
    };
    const data = JSON.parse(JSON.stringify({ ops: [op] }));
    ledger.apply({ id: `r${at}`, offset: at, atWallMs: 1, data });
  }
  return ledger;
}

/** Fits a least-squares line; the residual is relative to the value. */
function fit(points: readonly [number, number][]) {
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
  const covariance = points.reduce(
    (s, [x, y]) => s + (x - meanX) * (y - meanY),
    0,
  );
  const variance = points.reduce((s, [x]) => s + (x - meanX) ** 2, 0);
  const slope = covariance / variance;
  const intercept = meanY - slope * meanX;
  const residual = Math.max(
    ...points.map(([x, y]) => Math.abs(y - slope * x - intercept) / y),
  );
  return { slope, intercept, residual };
}

if (process.argv[1] === import.meta.filename) await run();

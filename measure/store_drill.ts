/**
 * Measures a store that comes back from an older copy, in front of a fleet of
 * hosts in one process: the share of requests served whole in the ten seconds
 * after it, the time until all hosts read the new era, and the store's calls.
 * Each fleet is measured beside one whose store hides its era, which is what
 * hosts saw before they knew eras.
 *
 * @module
 */

import type { ILog } from "../src/common/logging.ts";
import { silentLog } from "../src/common/logging.ts";
import { systemClock } from "../src/common/clock.ts";
import { callHost } from "../standins/users_platform/caller.ts";
import {
  Deployment,
  MODEL_SERVICE,
  PLAIN_SERVICE,
} from "../standins/users_platform/deployment.ts";
import type { ModelServerOptions } from "../standins/users_platform/model_server.ts";

const HOST_COUNTS = [9, 73];
const WINDOW_MS = 10_000;
const CALL_INTERVAL_MS = 25;
const HEARTBEAT_MS = 1_200;
const COPY_AGE_MS = 3_000;
const AWAY_MS = 500;
/** Time from the return until the operator's record is there again. */
const REWRITE_MS = 500;
const CALL_RATE_WINDOW_MS = 1_000;

interface Scenario {
  readonly hosts: number;
  readonly hidesEra: boolean;
  /** Whether a configuration was written that the copy lacks. */
  readonly losesConfig: boolean;
}

interface Result {
  readonly quietShare: number;
  readonly drillShare: number;
  /** Undefined if hosts do not know the era. */
  readonly rebuiltMs: number | undefined;
  readonly peakCallsPerS: number;
  readonly quietCallsPerS: number;
}

export async function run(): Promise<void> {
  console.log(
    "| hosts | era | lost configuration | whole, quiet | whole, after the drill | all rebuilt, ms | calls/s, quiet | calls/s, peak |",
  );
  console.log("| ---: | --- | --- | ---: | ---: | ---: | ---: | ---: |");
  for (const hosts of HOST_COUNTS) {
    for (const losesConfig of [true, false]) {
      for (const hidesEra of [true, false]) {
        const result = await measure({ hosts, hidesEra, losesConfig });
        const cells = [
          hosts,
          hidesEra ? "hidden" : "told",
          losesConfig ? "yes" : "no",
          result.quietShare.toFixed(4),
          result.drillShare.toFixed(4),
          result.rebuiltMs === undefined ? "-" : Math.round(result.rebuiltMs),
          Math.round(result.quietCallsPerS),
          result.peakCallsPerS,
        ];
        console.log(`| ${cells.join(" | ")} |`);
      }
    }
  }
}

async function measure(scenario: Scenario): Promise<Result> {
  const rebuiltAtMs: number[] = [];
  const log: ILog = {
    ...silentLog,
    warn: (event) => {
      if (event === "store came back from an older copy") {
        rebuiltAtMs.push(performance.now());
      }
    },
  };
  const deployment = new Deployment({
    servers: serverOptions(),
    hosts: scenario.hosts,
    log,
  });
  const { store } = deployment;
  store.era = 1;
  store.hidesEra = scenario.hidesEra;
  await deployment.start();
  await deployment.waitUntilPlaced(30_000);
  const heartbeat = setInterval(() => {
    for (const server of deployment.servers) deployment.register(server);
  }, HEARTBEAT_MS);
  try {
    await systemClock.sleep(WINDOW_MS);
    const quietCalls = store.calls.length;
    const quietShare = await serveFor(deployment, WINDOW_MS);
    const quietCallsPerS = (store.calls.length - quietCalls) * 1_000 /
      WINDOW_MS;
    if (scenario.losesConfig) deployment.configure();
    await systemClock.sleep(1_000);
    const peak = watchCallRate(store.calls);
    const served = serveFor(deployment, AWAY_MS + WINDOW_MS);
    await store.drill({ copyAgeMs: COPY_AGE_MS, awayMs: AWAY_MS });
    const returnedMs = performance.now();
    await systemClock.sleep(REWRITE_MS);
    if (scenario.losesConfig) deployment.configure();
    const drillShare = await served;
    const hasRebuilt = rebuiltAtMs.length >= 2 * scenario.hosts;
    return {
      quietShare,
      drillShare,
      rebuiltMs: hasRebuilt ? Math.max(...rebuiltAtMs) - returnedMs : undefined,
      peakCallsPerS: peak.stop(),
      quietCallsPerS,
    };
  } finally {
    clearInterval(heartbeat);
    deployment.close();
  }
}

function serverOptions(): ModelServerOptions[] {
  const models = Array.from({ length: 12 }, (_, index) => ({
    id: `model-${index}`,
    service: MODEL_SERVICE,
    domain: "a",
    kind: "small",
    events: 12,
    eventGapMs: 10,
  }));
  const plain = Array.from({ length: 3 }, (_, index) => ({
    id: `plain-${index}`,
    service: PLAIN_SERVICE,
    domain: "a",
  }));
  return [...models, ...plain];
}

/** Sends streams and plain calls to all hosts in turn; returns the share served whole. */
async function serveFor(
  deployment: Deployment,
  durationMs: number,
): Promise<number> {
  const endMs = performance.now() + durationMs;
  const calls: Promise<boolean>[] = [];
  for (let i = 0; performance.now() < endMs; i++) {
    const host = i % deployment.hosts.length;
    const path = i % 2 === 0 ? "/briefs/1" : "/acks/1";
    calls.push(
      callHost(deployment, { path, host, body: `body ${i}` }).then(
        ({ status, isWhole }) => status === 200 && isWhole,
        () => false,
      ),
    );
    await systemClock.sleep(CALL_INTERVAL_MS);
  }
  const served = await Promise.all(calls);
  return served.filter(Boolean).length / served.length;
}

/** Finds the largest number of calls within a second. */
function watchCallRate(calls: readonly string[]) {
  const counts: number[] = [];
  let peak = 0;
  const stepMs = CALL_RATE_WINDOW_MS / 10;
  const timer = setInterval(() => {
    counts.push(calls.length);
    const before = counts.at(-11);
    if (before !== undefined) peak = Math.max(peak, calls.length - before);
  }, stepMs);
  const stop = (): number => {
    clearInterval(timer);
    return peak;
  };
  return { stop };
}

/**
 * Measures the time from the loss of a stage to the next token of each affected
 * caller, with and without isolation of suspects, by number of callers that the
 * stage served. Time is virtual: a token takes 10 ms, a stall is detected after
 * 200 ms, a probe takes 1 ms, or 100 ms at a frozen engine.
 *
 * @module
 */

import type { IQuarantineService } from "../src/requests/services.ts";
import { NO_QUARANTINE } from "../test/requests_completions.ts";
import { quarantineFleet } from "../test/requests_quarantine.ts";

const SEED = 42;
const HOST_COUNT = 4;
const REPLICAS = 10;
const ANSWER_TOKENS = 60;
const AFFECTED_STREAM_COUNTS = [1, 4, 16, 32, 64];
const FAULT_AT_MS = 205;

export async function run(): Promise<void> {
  const startMs = performance.now();
  console.log(
    `seed ${SEED}, ${HOST_COUNT} hosts, ${REPLICAS} engines a stage, 3 stages`,
  );
  console.log(
    "\n| fault | isolation | callers of the stage | p50 ms | p95 ms | max ms | whole |",
  );
  console.log("| --- | --- | ---: | ---: | ---: | ---: | ---: |");
  for (const fault of ["dead", "frozen"] as const) {
    for (const isolation of [undefined, NO_QUARANTINE]) {
      for (const affectedCount of AFFECTED_STREAM_COUNTS) {
        await printRow(fault, isolation, affectedCount);
      }
    }
  }
  const tookS = (performance.now() - startMs) / 1_000;
  console.log(`\nrun time ${tookS.toFixed(0)} s`);
}

async function printRow(
  fault: "dead" | "frozen",
  quarantine: IQuarantineService | undefined,
  affectedCount: number,
): Promise<void> {
  const { clock, engines, send, reportFailureLater: learnLater } =
    quarantineFleet({
      seed: SEED,
      hostCount: HOST_COUNT,
      replicas: REPLICAS,
      length: ANSWER_TOKENS,
      crashes: new Map(),
      quarantine,
    });
  const sent = Array.from(
    { length: affectedCount * REPLICAS },
    (_, at) => send(`prompt ${at}`, at % HOST_COUNT),
  );
  await clock.advance(FAULT_AT_MS);
  const engine = engines.engines.get("e1-0");
  if (engine) engine.state = fault;
  void learnLater("e1-0");
  const faultMs = clock.nowMs();
  const ended = await clock.runUntil(Promise.all(sent));
  const affected = ended.filter(({ outcome }) =>
    outcome.isErr() || outcome.value.attemptCount > 1
  );
  const waitsMs = affected.map(({ releasedAtMs }) =>
    (releasedAtMs.find((atMs) => atMs > faultMs + 10) ?? Infinity) - faultMs
  ).sort((a, b) => a - b);
  const completeCount = ended.filter(({ outcome }) => outcome.isOk()).length;
  const at = (share: number) =>
    waitsMs[Math.min(waitsMs.length - 1, Math.floor(share * waitsMs.length))]
      ?.toFixed(0);
  const cells = [
    fault,
    quarantine ? "no" : "yes",
    waitsMs.length,
    at(0.5),
    at(0.95),
    at(1),
    `${completeCount}/${ended.length}`,
  ];
  console.log(`| ${cells.join(" | ")} |`);
}

if (process.argv[1] === import.meta.filename) await run();

/**
 * Runs the platform's program under random faults that a seed reproduces.
 *
 *   npm run soak -- --seed 7             one seed; prints its schedule too
 *   npm run soak -- --seed 1 --seeds 50  consecutive seeds
 *   npm run soak -- --minutes 10         seeds from a random one on, for this time
 *   npm run soak -- --prompt-part        a part of some prompts ends servers, too
 *   npm run soak -- --other-build COMMIT half of the hosts run that commit; they are
 *                                        replaced one after the other, and back
 *
 * @module
 */

import { rmSync } from "node:fs";
import process from "node:process";
import { parseArgs } from "node:util";
import { buildCommit } from "./other_build.ts";
import { type SoakOutcome, SoakRun } from "./soak_run.ts";

const DEFAULT_FAULT_PHASE_S = 10;
const MAX_SEED = 2 ** 31;

const { values } = parseArgs({
  options: {
    seed: { type: "string" },
    seeds: { type: "string" },
    minutes: { type: "string" },
    "trouble-s": { type: "string" },
    "prompt-part": { type: "boolean", default: false },
    "other-build": { type: "string" },
  },
});
const firstSeed = readCount("seed") ?? Math.floor(Math.random() * MAX_SEED);
const seeds = readCount("seeds") ??
  (values.minutes === undefined ? 1 : Infinity);
const minutes = readCount("minutes") ?? Infinity;
const faultPhaseMs = (readCount("trouble-s") ?? DEFAULT_FAULT_PHASE_S) * 1_000;
const endMs = performance.now() + minutes * 60_000;

const otherCommit = values["other-build"];
const otherBuild = otherCommit === undefined
  ? undefined
  : buildCommit(otherCommit);

let run: SoakRun | undefined;
// Host processes must not outlive a soak that is interrupted or fails.
process.on("exit", () => {
  run?.killHosts();
  if (otherBuild !== undefined) rmSync(otherBuild.folder, { recursive: true });
});
for (const name of ["SIGINT", "SIGTERM"] as const) {
  process.once(name, () => process.exit(1));
}

let failedSeeds = 0;
let completedSeeds = 0;
for (let i = 0; i < seeds && performance.now() < endMs; i++) {
  run = new SoakRun({
    seed: firstSeed + i,
    faultPhaseMs,
    hasCrashingPart: values["prompt-part"],
    otherProgram: otherBuild?.program,
  });
  const outcome = await run.run();
  completedSeeds++;
  if (outcome.violations.length > 0) failedSeeds++;
  print(outcome, seeds === 1);
}
console.log(
  `${completedSeeds} seeds, ${failedSeeds} with a violated invariant`,
);
process.exit(failedSeeds === 0 ? 0 : 1);

function print(outcome: SoakOutcome, showsSchedule: boolean): void {
  const { seed, attempts, complete, violations, schedule, folder } = outcome;
  const { ending, crashAfterEvents } = outcome.endings;
  console.log(
    `seed ${seed}: ${attempts} requests, ${complete} complete, ` +
      `${schedule.length} faults, ${violations.length} violations; servers end ` +
      `as ${ending} after ${crashAfterEvents.join(", ") || "no"} events`,
  );
  console.log(`  ${outcome.usage}`);
  for (const line of outcome.bursts) console.log(`  ${line}`);
  if (!showsSchedule && violations.length === 0) return;
  for (const { kind, index, startMs, endMs } of schedule) {
    console.log(`  ${startMs} to ${endMs} ms: ${kind} ${index}`);
  }
  for (const line of outcome.surroundings) console.log(`  ${line}`);
  for (const line of violations) console.log(`  BROKEN ${line}`);
  if (violations.length > 0) console.log(`  logs in ${folder}`);
}

function readCount(
  name: "seed" | "seeds" | "minutes" | "trouble-s",
): number | undefined {
  const text = values[name];
  if (text === undefined) return undefined;
  const count = Number(text);
  if (Number.isSafeInteger(count) && count >= 0) return count;
  console.error(
    `--${name}: "${text}" is invalid; expected an integer of 0 or more`,
  );
  process.exit(2);
}

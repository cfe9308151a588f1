import fc from "fast-check";
import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { seededRandom } from "../common/random.ts";
import { ConfigFleet } from "./testing/config_fleet.ts";
import { ConfigHistory } from "./testing/config_history.ts";

const SEED = 20_261_203;
const RUNS = Number(process.env.CONFIG_FUZZ_RUNS ?? 150);
const SAMPLE_EVERY_MS = 200;

interface Run {
  readonly clock: ManualClock;
  readonly fleet: ConfigFleet;
  readonly history: ConfigHistory;
  readonly work: Promise<void>[];
}

type Step =
  | { kind: "patch" | "read" | "freeze" | "thaw" | "restart"; slot: number }
  | { kind: "log-cut" | "log-join"; slot: number }
  | { kind: "split"; mask: number; logSides: number }
  | { kind: "log-down" | "log-up" | "lose-answers" | "keep-answers" }
  | { kind: "join" | "trim" }
  | { kind: "wait"; waitMs: number };

function arbitraryStep(hostCount: number): fc.Arbitrary<Step> {
  const slot = fc.nat(hostCount - 1);
  const kinds = <K extends string>(...names: K[]) => fc.constantFrom(...names);
  return fc.oneof(
    { weight: 6, arbitrary: fc.record({ kind: kinds("patch"), slot }) },
    { weight: 3, arbitrary: fc.record({ kind: kinds("read"), slot }) },
    {
      weight: 4,
      arbitrary: fc.record({
        kind: kinds("freeze", "thaw", "restart", "log-cut", "log-join"),
        slot,
      }),
    },
    {
      weight: 2,
      arbitrary: fc.record({
        kind: kinds("split"),
        mask: fc.nat(511),
        logSides: fc.nat(3),
      }),
    },
    {
      weight: 4,
      arbitrary: fc.record({
        kind: kinds(
          "log-down",
          "log-up",
          "log-up",
          "lose-answers",
          "keep-answers",
          "join",
          "trim",
        ),
      }),
    },
    {
      weight: 8,
      arbitrary: fc.record({
        kind: kinds("wait"),
        waitMs: fc.integer({ min: 1, max: 4_000 }),
      }),
    },
  ) as fc.Arbitrary<Step>;
}

async function take(step: Step, run: Run): Promise<void> {
  const { fleet, history, work } = run;
  const host = "slot" in step ? fleet.hosts[step.slot] : undefined;
  switch (step.kind) {
    case "patch":
      if (!host!.isFrozen) work.push(history.operate(host!.slot));
      return;
    case "read":
      if (!host!.isFrozen) work.push(history.read(host!.slot));
      return;
    case "freeze":
      return host!.freeze();
    case "thaw":
      return host!.thaw();
    case "restart":
      return fleet.restart(host!.slot);
    case "log-cut":
      host!.isCutFromLog = true;
      return;
    case "log-join":
      host!.isCutFromLog = false;
      return;
    case "split":
      for (const { slot } of fleet.hosts) {
        const side = (step.mask >> slot) & 1;
        fleet.hosts[slot].side = side;
        fleet.hosts[slot].isCutFromLog = ((step.logSides >> side) & 1) === 0;
      }
      return;
    case "join":
      for (const other of fleet.hosts) {
        other.side = 0;
        other.isCutFromLog = false;
      }
      return;
    case "log-down":
    case "log-up":
      fleet.isLogDown = step.kind === "log-down";
      return;
    case "lose-answers":
    case "keep-answers":
      fleet.losesLogAnswers = step.kind === "lose-answers";
      return;
    case "trim":
      return trim(fleet);
    case "wait":
      return await pass(run, step.waitMs);
  }
}

/** Retention drops what lies before the newest snapshot. */
function trim(fleet: ConfigFleet): void {
  const { records } = fleet.log;
  const newest = records.findLast(({ data }) =>
    (data as { kind: string }).kind === "snapshot"
  );
  if (newest !== undefined) {
    fleet.log.trim((newest.data as { nextOffset: number }).nextOffset);
  }
}

async function pass({ clock, history }: Run, spanMs: number): Promise<void> {
  const untilMs = clock.nowMs() + spanMs;
  while (clock.nowMs() < untilMs) {
    await clock.advance(Math.min(SAMPLE_EVERY_MS, untilMs - clock.nowMs()));
    history.observe();
  }
}

async function runSteps(
  options: { seed: number; hostCount: number; steps: readonly Step[] },
): Promise<string[]> {
  const { seed, hostCount, steps } = options;
  const clock = new ManualClock();
  const random = seededRandom(seed);
  const delayMs = () => 1 + Math.floor(random() * (random() < 0.1 ? 200 : 10));
  const fleet = new ConfigFleet({
    clock,
    random,
    hostCount,
    delayMs,
    snapshotPolicy: { everyRecords: 4, everyMs: 20_000 },
  });
  const history = new ConfigHistory(fleet, () => clock.nowMs());
  const run: Run = { clock, fleet, history, work: [] };
  await pass(run, 3_000);
  for (const step of steps) await take(step, run);
  fleet.heal();
  await pass(run, 20_000);
  fleet.dispose();
  return [...history.faults(), ...history.laggards()];
}

test(`no promise is broken in ${RUNS} histories, seed ${SEED}`, async () => {
  const arbitrary = fc.integer({ min: 1, max: 9 }).chain((hostCount) =>
    fc.record({
      seed: fc.nat(),
      hostCount: fc.constant(hostCount),
      steps: fc.array(arbitraryStep(hostCount), {
        minLength: 5,
        maxLength: 40,
        size: "max",
      }),
    })
  );
  await fc.assert(
    fc.asyncProperty(arbitrary, async (options) => {
      expect(await runSteps(options)).toEqual([]);
    }),
    { seed: SEED, numRuns: RUNS, endOnFailure: true },
  );
}, 300_000);

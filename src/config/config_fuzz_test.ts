import fc from "fast-check";
import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { seededRandom } from "../common/random.ts";
import { ConfigFleet } from "./testing/config_fleet.ts";
import { ConfigHistory } from "./testing/config_history.ts";

const SEED = Number(process.env.CONFIG_FUZZ_SEED ?? 20_261_203);
const RUNS = Number(process.env.CONFIG_FUZZ_RUNS ?? 150);
const SAMPLE_EVERY_MS = 200;
const MAX_SKEW_MS = 500;

/** An act of an operator, counted back from the end of its phase. */
interface Action {
  readonly kind: "patch" | "read" | "restart" | "publish" | "publish-invalid";
  readonly slot: number;
  readonly beforeEndMs: number;
}

/** Faults that hold together for a while. Bits stand for hosts or sides. */
interface Phase {
  readonly sides: number;
  readonly logSides: number;
  readonly frozen: number;
  readonly losesReplies: boolean;
  readonly trims: boolean;
  readonly lastsMs: number;
  readonly actions: readonly Action[];
}

interface History {
  readonly seed: number;
  readonly hostCount: number;
  readonly phases: readonly Phase[];
}

function arbitraryPhase(hostCount: number): fc.Arbitrary<Phase> {
  const hostBits = fc.nat(2 ** hostCount - 1);
  const rarely = <T>(usual: T, other: fc.Arbitrary<T>) =>
    fc.oneof(
      { weight: 3, arbitrary: fc.constant(usual) },
      { weight: 1, arbitrary: other },
    );
  const action: fc.Arbitrary<Action> = fc.record({
    kind: fc.constantFrom(
      "patch",
      "patch",
      "patch",
      "patch",
      "read",
      "restart",
      "publish",
      "publish-invalid",
    ),
    slot: fc.nat(hostCount - 1),
    // Near the end, the next phase's faults strike in the middle of the act.
    beforeEndMs: fc.oneof(fc.nat(60), fc.nat(10_000)),
  });
  return fc.record({
    sides: fc.oneof(fc.constant(0), hostBits),
    logSides: fc.constantFrom(3, 3, 2, 1, 0),
    frozen: rarely(0, hostBits),
    losesAnswers: rarely(false, fc.constant(true)),
    trims: rarely(false, fc.constant(true)),
    lastsMs: fc.oneof(
      fc.integer({ min: 50, max: 2_000 }),
      fc.integer({ min: 2_000, max: 10_000 }),
    ),
    acts: fc.array(action, { maxLength: 5 }),
  });
}

const arbitraryHistory: fc.Arbitrary<History> = fc
  .integer({ min: 1, max: 9 })
  .chain((hostCount) =>
    fc.record({
      seed: fc.nat(),
      hostCount: fc.constant(hostCount),
      phases: fc.array(arbitraryPhase(hostCount), {
        minLength: 2,
        maxLength: 6,
        size: "max",
      }),
    })
  );

class HistoryRun {
  readonly clock = new ManualClock();
  readonly fleet: ConfigFleet;
  readonly history: ConfigHistory;

  constructor({ seed, hostCount }: History) {
    const random = seededRandom(seed);
    this.fleet = new ConfigFleet({
      clock: this.clock,
      random,
      hostCount,
      delayMs: () => 1 + Math.floor(random() * (random() < 0.1 ? 150 : 10)),
      skewMs: () => (random() - 0.5) * 2 * MAX_SKEW_MS,
      snapshotPolicy: { everyRecords: 6, everyMs: 20_000 },
    });
    this.history = new ConfigHistory(this.fleet, () => this.clock.nowMs());
  }

  async advance(spanMs: number): Promise<void> {
    const untilMs = this.clock.nowMs() + spanMs;
    while (this.clock.nowMs() < untilMs) {
      const stepMs = Math.min(SAMPLE_EVERY_MS, untilMs - this.clock.nowMs());
      await this.clock.advance(stepMs);
      this.history.observe();
    }
  }

  async runPhase(phase: Phase): Promise<void> {
    this.#setFaults(phase);
    const endMs = this.clock.nowMs() + phase.lastsMs;
    const actions = [...phase.actions].sort((a, b) =>
      b.beforeEndMs - a.beforeEndMs
    );
    for (const action of actions) {
      await this.advance(endMs - action.beforeEndMs - this.clock.nowMs());
      this.#perform(action);
    }
    await this.advance(endMs - this.clock.nowMs());
  }

  #setFaults(phase: Phase): void {
    this.fleet.losesLogReplies = phase.losesReplies;
    for (const host of this.fleet.hosts) {
      host.side = phase.sides >> host.slot & 1;
      host.isLogUnreachable = (phase.logSides >> host.side & 1) === 0;
      if (phase.frozen >> host.slot & 1) host.pause();
      else host.resume();
    }
    if (phase.trims) this.#trim();
  }

  #perform({ kind, slot }: Action): void {
    if (this.fleet.hosts[slot].isPaused) return;
    if (kind === "patch") void this.history.submitChange(slot);
    if (kind === "publish") this.history.publish(slot, true);
    if (kind === "publish-invalid") this.history.publish(slot, false);
    if (kind === "read") void this.history.read(slot);
    if (kind === "restart") this.fleet.restart(slot);
  }

  /** Retention drops what lies before the newest snapshot. */
  #trim(): void {
    const { records } = this.fleet.log;
    const newest = records.findLast(({ data }) =>
      (data as { kind: string }).kind === "snapshot"
    );
    if (newest === undefined) return;
    this.fleet.log.trim((newest.data as { nextOffset: number }).nextOffset);
  }
}

const tally = { accepted: 0, refused: 0, unknown: 0, served: 0, notReady: 0 };

async function violationsIn(options: History): Promise<string[]> {
  const run = new HistoryRun(options);
  await run.advance(3_000);
  for (const phase of options.phases) await run.runPhase(phase);
  run.fleet.heal();
  await run.advance(15_000);
  run.fleet.dispose();
  count(run.history);
  return [...run.history.faults(), ...run.history.hostsBehind()];
}

function count({ operations, observations }: ConfigHistory): void {
  for (const { outcome } of operations) {
    if (outcome.isOk()) tally.accepted += 1;
    else if (outcome.error.verdict === "not-run") tally.refused += 1;
    else tally.unknown += 1;
  }
  for (const { isReady } of observations) {
    if (isReady) tally.served += 1;
    else tally.notReady += 1;
  }
}

test(`no promise is broken in ${RUNS} histories, seed ${SEED}`, async () => {
  await fc.assert(
    fc.asyncProperty(arbitraryHistory, async (options) => {
      expect(await violationsIn(options)).toEqual([]);
    }),
    { seed: SEED, numRuns: RUNS, endOnFailure: true },
  );
  console.log(
    `operators' changes and hosts' samples: ${JSON.stringify(tally)}`,
  );
  expect(Math.min(...Object.values(tally))).toBeGreaterThan(0);
}, 600_000);

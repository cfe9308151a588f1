import fc from "fast-check";
import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { TestNetwork } from "../../test/requests_host.ts";
import {
  ANSWER_TOKEN_COUNT,
  NO_QUARANTINE,
} from "../../test/requests_completions.ts";
import {
  type EndedCompletion,
  quarantineFleet,
  type QuarantineFleetOptions,
} from "../../test/requests_quarantine.ts";
import { seededRandom } from "../common/random.ts";
import { QuarantineService } from "./quarantine_service.ts";
import { StrikeLedger } from "./strike_ledger.ts";

const SEED = 20_261_205;
const RUNS = 400;
const FUZZ_TIMEOUT_MS = 120_000;
const HOST_COUNT = 4;
const MAX_TARGETS_LOST = 2;

interface PlannedSend {
  readonly prompt: string;
  readonly host: number;
  readonly afterMs: number;
}

interface Scenario {
  readonly seed: number;
  readonly atIndex: number;
  readonly stage: number;
  readonly sendings: readonly PlannedSend[];
}

test(`crashing content loses at most two targets, seed ${SEED}`, async () => {
  await fc.assert(
    fc.asyncProperty(scenario(), async (planned) => {
      const { lostCount, ended } = await runScenario(planned);
      expect(lostCount).toBeLessThanOrEqual(MAX_TARGETS_LOST);
      for (const { prompt, outcome } of ended) {
        expect(outcome.isOk(), prompt).toBe(prompt !== "crash");
      }
    }),
    { seed: SEED, numRuns: RUNS },
  );
}, FUZZ_TIMEOUT_MS);

test("without quarantine crashing content loses a target at every attempt", async () => {
  const planned: Scenario = {
    seed: 1,
    atIndex: 3,
    stage: 1,
    sendings: [0, 1, 2].map((host) => ({
      prompt: "crash",
      host,
      afterMs: 5_000,
    })),
  };
  const unprotected = await runScenario(planned, { quarantine: NO_QUARANTINE });
  expect(unprotected.lostCount).toBeGreaterThan(5);
  expect((await runScenario(planned)).lostCount).toBe(MAX_TARGETS_LOST);
});

test(
  "two concurrent crashing contents lose at most two targets each",
  async () => {
    for (let seed = 0; seed < 100; seed += 1) {
      const random = seededRandom(seed);
      const crash = () => ({
        atIndex: Math.floor(random() * ANSWER_TOKEN_COUNT),
        stage: Math.floor(random() * 3),
      });
      const { clock, engines, send } = quarantineFleet({
        seed,
        hostCount: HOST_COUNT,
        replicas: 12,
        crashes: new Map([["x", crash()], ["y", crash()]]),
      });
      const open: Promise<EndedCompletion>[] = [];
      for (const prompt of ["a", "b", "x", "c", "d", "y", "e", "f", "g"]) {
        open.push(send(prompt, Math.floor(random() * HOST_COUNT)));
        await clock.advance(Math.floor(random() * 30));
      }
      await clock.runUntil(Promise.all(open));
      for (const lost of engines.crashedTargets.values()) {
        expect(lost.size, `seed ${seed}`).toBeLessThanOrEqual(MAX_TARGETS_LOST);
      }
    }
  },
  FUZZ_TIMEOUT_MS,
);

test("a strike reaches every live host of a large fleet within its time-out", async () => {
  const clock = new ManualClock();
  const random = seededRandom(6);
  const network = new TestNetwork({ clock, random });
  const hosts = Array.from(
    { length: 150 },
    (_, at) => network.add(`host-${at}`),
  );
  const dissemination = {
    publish: () => {},
    onFact: () => ({ dispose: () => {} }),
  };
  const services = hosts.map((host) =>
    new QuarantineService({
      clock: host.clock(clock),
      membership: network.membership(host),
      transport: network.transport(host),
      dissemination,
    })
  );
  for (const host of hosts.slice(1)) if (random() < 0.1) host.kill();
  const startMs = clock.nowMs();
  for (const target of ["t1", "t2"]) {
    await clock.runUntil(
      services[0].strike("f", {
        stage: { target, first: 0, end: 4 },
        startedMs: clock.nowMs() - 50,
        isAlone: target === "t2",
        deadlineMs: clock.nowMs() + 10_000,
      }),
    );
  }
  expect(clock.nowMs() - startMs).toBeLessThanOrEqual(400);
  for (const [at, service] of services.entries()) {
    if (!hosts[at].isDead) expect(service.admit("f").isErr()).toBe(true);
  }
  expect(network.callCount).toBeLessThanOrEqual(2 * hosts.length);
});

test("all suspect requests are answered when there are more than chains", async () => {
  const sendings = Array.from({ length: 40 }, (_, at) => ({
    prompt: `innocent ${at}`,
    host: at % HOST_COUNT,
    afterMs: 0,
  }));
  const crash = { prompt: "crash", host: 0, afterMs: 0 };
  const { lostCount, ended } = await runScenario(
    { seed: 3, atIndex: 0, stage: 0, sendings: [crash, ...sendings] },
    { replicas: 3 },
  );
  expect(lostCount).toBe(MAX_TARGETS_LOST);
  expect(ended.filter(({ outcome }) => outcome.isOk())).toHaveLength(40);
});

test("concurrent copies lose at most one target per copy plus one", async () => {
  for (let seed = 0; seed < 20; seed += 1) {
    const sendings = [0, 1, 2, 3].map((host) => ({
      prompt: "crash",
      host,
      afterMs: 0,
    }));
    const { lostCount, ended } = await runScenario({
      seed,
      atIndex: 3,
      stage: 1,
      sendings,
    });
    expect(lostCount).toBeLessThanOrEqual(sendings.length + 1);
    expect(ended.every(({ outcome }) => outcome.isErr())).toBe(true);
  }
});

/** Sends the crashing prompts sequentially and the others concurrently. */
async function runScenario(
  planned: Scenario,
  changes: Partial<QuarantineFleetOptions> = {},
) {
  const { atIndex, stage, seed } = planned;
  const fleet = quarantineFleet({
    seed,
    hostCount: HOST_COUNT,
    replicas: 8,
    crashes: new Map([["crash", { atIndex, stage }]]),
    ...changes,
  });
  const { clock, engines, ended, send } = fleet;
  const open: Promise<EndedCompletion>[] = [];
  for (const { prompt, host, afterMs } of planned.sendings) {
    const sent = send(prompt, host);
    open.push(sent);
    if (afterMs > 0 && prompt === "crash") await clock.runUntil(sent);
    await clock.advance(afterMs);
  }
  await clock.runUntil(Promise.all(open));
  return { lostCount: engines.crashedTargets.get("crash")?.size ?? 0, ended };
}

function scenario(): fc.Arbitrary<Scenario> {
  const sending = fc.record({
    prompt: fc.constantFrom("crash", "a", "b", "c", "d", "e"),
    host: fc.nat({ max: HOST_COUNT - 1 }),
    afterMs: fc.constantFrom(1, 10, 40, 2_000),
  });
  return fc.record({
    seed: fc.nat(),
    atIndex: fc.nat({ max: ANSWER_TOKEN_COUNT - 1 }),
    stage: fc.nat({ max: 2 }),
    sendings: fc.array(sending, { minLength: 4, maxLength: 16, size: "max" }),
  });
}

test.each([
  ["the same layers", { first: 2, end: 6 }, true, true],
  ["other layers", { first: 4, end: 8 }, true, false],
  ["the same layers without isolation", { first: 0, end: 4 }, false, false],
])("a second loss with %s", (_, span, isAlone, convicts) => {
  const ledger = new StrikeLedger({
    maxTargetsLost: 2,
    retentionMs: 10_000,
    capacity: 10,
  });
  const first = { target: "t1", first: 0, end: 4, isAlone: false };
  ledger.strike("f", { ...first, atWallMs: 100 });
  ledger.strike("f", { target: "t2", ...span, isAlone, atWallMs: 900 });
  expect(ledger.isQuarantined("f", 1_000)).toBe(convicts);
});

test("strike entries merge to the same state in any order", () => {
  const wallMs = 1_000_000;
  const entry = (target: string, atWallMs: number, absolvedAtWallMs = -1) => ({
    fingerprint: "f",
    losses: [{ target, atWallMs, first: 0, end: 4, isAlone: true }],
    absolvedAtWallMs,
  });
  const entries = [
    entry("t1", 100_000),
    entry("t1", 100_500),
    entry("t2", 200_000, 150_000),
  ];
  const count = (order: readonly number[]) => {
    const ledger = new StrikeLedger({
      maxTargetsLost: 3,
      retentionMs: 10_000_000,
      capacity: 10,
    });
    for (const at of order) ledger.merge(entries[at]);
    return ledger.lossCount("f", wallMs);
  };
  const orders = [[0, 1, 2], [2, 1, 0], [1, 2, 0], [2, 0, 1]];
  expect(orders.map(count)).toEqual([1, 1, 1, 1]);
});

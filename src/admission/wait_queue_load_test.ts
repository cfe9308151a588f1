import { expect, test } from "vitest";
import { QUEUE_LOADS } from "../../measure/refusal/loads.ts";
import { simulateQueues } from "../../measure/refusal/queue_load.ts";
import type { LoadOutcome, QueueOrder } from "../../measure/refusal/types.ts";

const SEEDS = [31, 32, 33, 34, 35, 36];
const LOAD_NAMES = Object.keys(QUEUE_LOADS);

const outcomes = new Map<string, readonly LoadOutcome[]>();

function outcomesOf(name: string, order: QueueOrder): readonly LoadOutcome[] {
  const key = `${name}: ${order}`;
  let found = outcomes.get(key);
  if (found === undefined) {
    const load = QUEUE_LOADS[name];
    found = SEEDS.map((seed) => simulateQueues({ ...load, seed, order }));
    outcomes.set(key, found);
  }
  return found;
}

function mean(
  name: string,
  order: QueueOrder,
  pick: (outcome: LoadOutcome) => number,
): number {
  const values = outcomesOf(name, order).map(pick);
  return values.reduce((sum, value) => sum + value) / values.length;
}

test.each(LOAD_NAMES)(
  "under %s, callers get more than by rank alone or first come, first served",
  (name) => {
    const picks = {
      value: (outcome: LoadOutcome) => outcome.value,
      inTime: (outcome: LoadOutcome) => outcome.inTime,
      worstSecond: (outcome: LoadOutcome) => outcome.worstSecond,
      worstCustomer: (outcome: LoadOutcome) => outcome.worstCustomer,
    };
    for (const [figure, pick] of Object.entries(picks)) {
      const own = mean(name, "cost", pick);
      for (const order of ["rank", "first-come"] as const) {
        expect(own, `${figure} against ${order}`)
          .toBeGreaterThan(mean(name, order, pick));
      }
    }
  },
);

test.each(LOAD_NAMES)("under %s, no kind, size or customer starves", (name) => {
  expect(mean(name, "cost", ({ largestTenth }) => largestTenth))
    .toBeGreaterThanOrEqual(0.5);
  for (const { requests, servedByRank } of outcomesOf(name, "cost")) {
    const served = servedShare(requests);
    for (const share of servedByRank) {
      expect(share).toBeGreaterThanOrEqual(served / 4);
    }
    const customers = new Set(requests.map(({ customer }) => customer));
    for (const customer of customers) {
      const own = requests.filter((request) => request.customer === customer);
      expect(servedShare(own)).toBeGreaterThanOrEqual(served / 4);
    }
  }
});

test.each(LOAD_NAMES)(
  "under %s, a more urgent kind is served no less often",
  (name) => {
    for (const [rank, next] of [[0, 1], [1, 2]]) {
      const served = (of: number) =>
        mean(name, "cost", ({ servedByRank }) => servedByRank[of]);
      const inTime = (of: number) =>
        mean(name, "cost", ({ inTimeByRank }) => inTimeByRank[of]);
      expect(served(rank)).toBeGreaterThanOrEqual(served(next) - 0.05);
      expect(inTime(rank)).toBeGreaterThanOrEqual(inTime(next) - 0.15);
    }
  },
);

test("with slow first events, few requests start in vain", () => {
  const load = {
    ...QUEUE_LOADS["twice the capacity, 4 hosts"],
    firstEventFactor: 8,
    seed: SEEDS[0],
  };
  const { left } = simulateQueues({ ...load, order: "cost" });
  const byRank = simulateQueues({ ...load, order: "rank" });
  expect(left).toBeLessThan(byRank.left / 2);
});

test.each(LOAD_NAMES)("under %s, no caller leaves while it waits", (name) => {
  for (const { left } of outcomesOf(name, "cost")) expect(left).toBe(0);
});

function servedShare(requests: LoadOutcome["requests"]): number {
  const served = requests.filter(({ end }) =>
    end === "in-time" || end === "late"
  );
  return served.length / requests.length;
}

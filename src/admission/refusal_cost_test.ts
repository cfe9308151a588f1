import { expect, test } from "vitest";
import {
  callerPatienceMs,
  compareCosts,
  type CostInputs,
  refusalCost,
  requestWorkMs,
} from "./refusal_cost.ts";

const MEAN: CostInputs = {
  relativeSize: 1,
  relativeWork: 1,
  canBeInTime: true,
  waitedMs: 0,
  goalMs: 500,
};
const costOf = (inputs: Partial<CostInputs>): number =>
  refusalCost({ ...MEAN, ...inputs });

test("no cost outweighs a more urgent rank", () => {
  const urgent = { rank: 0, cost: costOf({ canBeInTime: false }) };
  const other = { rank: 1, cost: costOf({ waitedMs: 60_000 }) };
  expect([other, urgent].sort(compareCosts)).toEqual([urgent, other]);
});

test("the fixed part of the value favors requests that need less work", () => {
  const half = costOf({ relativeSize: 0.5, relativeWork: 0.5 });
  expect(half).toBeCloseTo(0.65 / 0.5);
  expect(half).toBeGreaterThan(costOf({}));
});

test("tiny and huge requests cost a bounded multiple of the mean", () => {
  const tiny = costOf({ relativeSize: 0.001, relativeWork: 0.001 });
  expect(tiny).toBeLessThan(1.5 * costOf({}));
  // Otherwise the largest requests of a kind would be refused most often.
  expect(costOf({ relativeSize: 4, relativeWork: 4 }))
    .toBeGreaterThan(costOf({}));
});

test("a request that can no longer be in time is worth its late share", () => {
  expect(costOf({ canBeInTime: false })).toBeCloseTo(0.375);
});

test("the cost grows with the time waited, faster towards a shorter goal", () => {
  expect(costOf({ waitedMs: 500 })).toBeCloseTo(2);
  expect(costOf({ waitedMs: 500, goalMs: 1_000 })).toBeCloseTo(1.5);
  const starved = costOf({ waitedMs: 1_100, canBeInTime: false });
  expect(starved).toBeGreaterThan(costOf({}));
});

test("a request that is early costs less than one that has just arrived", () => {
  expect(costOf({ waitedMs: -400 })).toBeLessThan(costOf({}));
  expect(costOf({ waitedMs: -1e9 })).toBeGreaterThan(0);
});

test("callers wait for two seconds, or a multiple of their goals", () => {
  expect(callerPatienceMs(100, undefined)).toBe(2_000);
  expect(callerPatienceMs(1_000, 250)).toBe(4_000);
  expect(callerPatienceMs(500, 400)).toBe(3_200);
});

test("work grows with the prompt, the answer and the context of each step", () => {
  const profile = {
    prefillTokensPerMs: 100,
    perSequenceMs: 0.01,
    contextPerKiloTokenMs: 0.02,
  };
  expect(requestWorkMs(profile, { promptTokens: 1_000, answerTokens: 200 }))
    .toBeCloseTo(10 + 200 * (0.01 + 0.02 * 1.1));
});

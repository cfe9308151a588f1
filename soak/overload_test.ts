import { expect, test } from "vitest";
import { checkOverload } from "./overload.ts";
import { BURST_ROUTE, DEADLINE_MS, URGENT_ROUTE } from "./settings.ts";
import type { Attempt, History, RouteName } from "./types.ts";

function attempts(
  route: RouteName,
  [served, sent]: readonly [number, number],
  overrides: Partial<Attempt> = {},
): Attempt[] {
  return Array.from({ length: sent }, (_, index) => ({
    id: `${route}-${index}`,
    route,
    key: "first",
    content: "a body",
    startMs: 2_000,
    endMs: 2_500,
    status: index < served ? 200 : 503,
    isWhole: true,
    retryAfter: "0.7",
    ...overrides,
  } as Attempt));
}

function check(urgent: readonly Attempt[], cutEndMs = 0): string[] {
  return checkOverload({
    attempts: [...urgent, ...attempts(BURST_ROUTE, [85, 100])],
    bursts: [{ startMs: 1_000, endMs: 6_000 }],
    linkCuts: [{ hosts: ["host-1"], startMs: 0, endMs: cutEndMs }],
  } as unknown as History);
}

test("an urgent route that is served less often by over 5 in 100 is a violation", () => {
  expect(check(attempts(URGENT_ROUTE, [32, 40]))).toEqual([]);
  expect(check(attempts(URGENT_ROUTE, [31, 40]))).toEqual([
    "burst: 31 of 40 briefs served, 85 of 100 of the less urgent bulk",
  ]);
});

test("a caller that gave up at its time-out was not served", () => {
  const leftAt = (endMs: number) => {
    const left = { hasDisconnected: true, endMs };
    return [
      ...attempts(URGENT_ROUTE, [31, 31]),
      ...attempts(URGENT_ROUTE, [0, 9], left),
    ];
  };
  expect(check(leftAt(2_000 + 2 * DEADLINE_MS))).toHaveLength(1);
  expect(check(leftAt(2_100))).toEqual([]);
});

test("shares are not compared while hosts are cut off or for a few requests", () => {
  const urgent = attempts(URGENT_ROUTE, [0, 20]);
  expect(check(urgent, 1_000)).toHaveLength(1);
  expect(check(urgent, 1_001)).toEqual([]);
  expect(check(urgent.slice(1))).toEqual([]);
});

test.each([undefined, "0", "soon"])(
  "a refusal with Retry-After %s is a violation, also on other routes",
  (retryAfter) => {
    expect(check(attempts("slips", [0, 1], { retryAfter }))).toHaveLength(1);
  },
);

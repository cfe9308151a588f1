import { describe, expect, test } from "vitest";
import { playDay } from "./day.ts";
import { LOADS } from "./loads.ts";
import { PLANNERS } from "./planners.ts";
import { SITE_PROFILE, siteTargets } from "../../test/reference_site.ts";
import type { DayOptions, DayOutcome } from "./types.ts";

const SEEDS = [11, 12, 13];
const PRODUCT = {
  planner: PLANNERS.product,
  pathWay: "cost",
  queueWay: "ranked",
} as const;

/** Mean over some seeds of what callers got. */
function mean(
  loadName: string,
  ways: Partial<DayOptions>,
  pick: (outcome: DayOutcome) => number,
): number {
  const load = LOADS.find(({ name }) => name === loadName);
  if (load === undefined) throw new Error(`no load ${loadName}`);
  const values = SEEDS.map((seed) =>
    pick(playDay({
      ...PRODUCT,
      ...ways,
      seed,
      load,
      figures: SITE_PROFILE,
      targets: siteTargets(),
      hosts: 9,
      durationMs: 16_000,
    }))
  );
  return values.reduce((sum, value) => sum + value) / values.length;
}

const inTime = ({ inTime }: DayOutcome) => inTime;
const worstWindow = ({ worstWindow }: DayOutcome) => worstWindow;

test("the usual load is served in time, whoever sends it and when", () => {
  expect(mean("usual", {}, inTime)).toBeGreaterThan(0.99);
  expect(mean("usual", {}, worstWindow)).toBeGreaterThan(0.95);
  expect(mean("usual", {}, ({ worstCustomer }) => worstCustomer))
    .toBeGreaterThan(0.95);
});

test("a day is the same each time for its seed", () => {
  const first = mean("burst", {}, inTime);
  expect(mean("burst", {}, inTime)).toBe(first);
});

describe.each(LOADS.map(({ name }) => name))("under the load: %s", (load) => {
  test("the product's plan serves more than the plain plans", () => {
    const product = mean(load, {}, inTime);
    for (const name of ["fewest targets", "most copies"]) {
      const plain = mean(load, { planner: PLANNERS[name] }, inTime);
      expect(product).toBeGreaterThan(plain);
    }
  });

  test("the product's paths serve no less than copies in turn or at random", () => {
    const product = mean(load, {}, inTime);
    for (const pathWay of ["round-robin", "random"] as const) {
      // Ways that are equal differ by their draws.
      expect(product).toBeGreaterThan(mean(load, { pathWay }, inTime) - 0.01);
    }
  });

  test("the queue serves no less than refusing at once", () => {
    const product = mean(load, {}, inTime);
    const none = mean(load, { queueWay: "none" }, inTime);
    expect(product).toBeGreaterThan(none - 0.01);
  });
});

test("a lost target ends fewer streams than where copies are chosen in turn", () => {
  const refused = ({ refused }: DayOutcome) => refused;
  expect(mean("one target lost", {}, refused)).toBeLessThan(
    mean("one target lost", { pathWay: "round-robin" }, refused),
  );
});

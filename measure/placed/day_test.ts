import { describe, expect, test } from "vitest";
import { simulateLoad } from "./day.ts";
import { LOADS } from "./loads.ts";
import { PLANNERS } from "./planners.ts";
import { SITE_PROFILE, siteTargets } from "../../test/reference_site.ts";
import type { SimulationOptions, SimulationOutcome } from "./types.ts";

const SEEDS = [11, 12, 13];
const PRODUCT_POLICIES = {
  planner: PLANNERS.product,
  pathPolicy: "cost",
  queuePolicy: "ranked",
} as const;

/** Mean over all seeds of one figure of the outcome. */
function mean(
  loadName: string,
  overrides: Partial<SimulationOptions>,
  pick: (outcome: SimulationOutcome) => number,
): number {
  const load = LOADS.find(({ name }) => name === loadName);
  if (load === undefined) throw new Error(`unknown load "${loadName}"`);
  const values = SEEDS.map((seed) =>
    pick(simulateLoad({
      ...PRODUCT_POLICIES,
      ...overrides,
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

const inTime = ({ inTime }: SimulationOutcome) => inTime;
const worstWindow = ({ worstWindow }: SimulationOutcome) => worstWindow;

test("the usual load is served in time for every customer and in every window", () => {
  expect(mean("usual", {}, inTime)).toBeGreaterThan(0.99);
  expect(mean("usual", {}, worstWindow)).toBeGreaterThan(0.95);
  expect(mean("usual", {}, ({ worstCustomer }) => worstCustomer))
    .toBeGreaterThan(0.95);
});

test("simulations with the same seed have the same outcome", () => {
  const first = mean("burst", {}, inTime);
  expect(mean("burst", {}, inTime)).toBe(first);
});

describe.each(LOADS.map(({ name }) => name))("under the load: %s", (load) => {
  test("the product's plan serves more than the baseline plans", () => {
    const product = mean(load, {}, inTime);
    for (const name of ["fewest targets", "most copies"]) {
      const baseline = mean(load, { planner: PLANNERS[name] }, inTime);
      expect(product).toBeGreaterThan(baseline);
    }
  });

  test("the product's paths serve no less than copies in turn or at random", () => {
    const product = mean(load, {}, inTime);
    for (const pathPolicy of ["round-robin", "random"] as const) {
      // Equivalent policies still differ slightly by their random draws.
      expect(product).toBeGreaterThan(
        mean(load, { pathPolicy }, inTime) - 0.01,
      );
    }
  });

  test("the queue serves no less than refusing at once", () => {
    const product = mean(load, {}, inTime);
    const withoutQueue = mean(load, { queuePolicy: "none" }, inTime);
    expect(product).toBeGreaterThan(withoutQueue - 0.01);
  });
});

test("a lost target ends fewer streams than with round-robin selection of copies", () => {
  const refused = ({ refused }: SimulationOutcome) => refused;
  expect(mean("one target lost", {}, refused)).toBeLessThan(
    mean("one target lost", { pathPolicy: "round-robin" }, refused),
  );
});

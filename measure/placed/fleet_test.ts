import { expect, test } from "vitest";
import { simulateLoad } from "./day.ts";
import { LOADS } from "./loads.ts";
import { PLANNERS } from "./planners.ts";
import { COMPARED_SITES } from "./sites.ts";
import type { SimulationOptions } from "./types.ts";

/** 79 hosts whose load information is 0.6 to 2.4 s old. */
function simulateFleet(
  loadName: string,
  overrides: Partial<SimulationOptions> = {},
) {
  const [, site] = COMPARED_SITES;
  const load = LOADS.find(({ name }) => name === loadName) ?? LOADS[0];
  return simulateLoad({
    planner: PLANNERS.product,
    pathPolicy: "cost",
    queuePolicy: "ranked",
    seed: 11,
    durationMs: 16_000,
    figures: site.figures,
    targets: site.targets,
    hosts: site.hosts,
    loadInfo: site.loadInfo,
    ...overrides,
    load: { ...load, requestsPerS: load.requestsPerS * site.rateFactor },
  });
}

test("a large fleet serves the usual load in time although hosts hear late of each other", () => {
  expect(simulateFleet("usual").inTime).toBeGreaterThan(0.99);
  // All candidates and the newest reports make hosts select alike.
  const alike = { candidateShare: 1, noise: 0, isSmoothed: false };
  expect(simulateFleet("usual", { spread: alike }).inTime).toBeLessThan(0.99);
});

test("a large fleet serves more of a burst by the estimate than by noise", () => {
  const { loadInfo } = COMPARED_SITES[1];
  const withoutReports = { ...loadInfo, hasPrefillReports: false };
  expect(simulateFleet("burst").inTime).toBeGreaterThan(
    simulateFleet("burst", { loadInfo: withoutReports }).inTime + 0.03,
  );
});

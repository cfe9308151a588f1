/**
 * Simulates request loads on a placed model. Replaces the product's placement,
 * path selection and queue by baselines, one at a time, and compares them under
 * each load. Prints a table and writes one chart per load to `dist/charts/`.
 *
 * @module
 */

import { mkdirSync, writeFileSync } from "node:fs";
import { drawChart } from "./placed/chart.ts";
import { simulateLoad } from "./placed/day.ts";
import { LOADS } from "./placed/loads.ts";
import { PLANNERS } from "./placed/planners.ts";
import { SITE_PROFILE, siteTargets } from "../test/reference_site.ts";
import type { SimulationOptions } from "./placed/types.ts";
import { printRows } from "./tables/rows.ts";

const SEED = 20_261_203;
const HOSTS = 9;
const DURATION_MS = 24_000;
const CHART_FOLDER = "dist/charts";

type Policies = Pick<
  SimulationOptions,
  "planner" | "pathPolicy" | "queuePolicy"
>;

const PRODUCT_POLICIES: Policies = {
  planner: PLANNERS.product,
  pathPolicy: "cost",
  queuePolicy: "ranked",
};
const VARIANTS: Readonly<Record<string, Policies>> = {
  product: PRODUCT_POLICIES,
  "plan: fewest targets": {
    ...PRODUCT_POLICIES,
    planner: PLANNERS["fewest targets"],
  },
  "plan: most copies": {
    ...PRODUCT_POLICIES,
    planner: PLANNERS["most copies"],
  },
  "paths: round robin": { ...PRODUCT_POLICIES, pathPolicy: "round-robin" },
  "paths: random": { ...PRODUCT_POLICIES, pathPolicy: "random" },
  "queue: none": { ...PRODUCT_POLICIES, queuePolicy: "none" },
  "queue: first come": { ...PRODUCT_POLICIES, queuePolicy: "first-come" },
};

export function run(): Promise<void> {
  mkdirSync(CHART_FOLDER, { recursive: true });
  const rows: (string | number)[][] = [[
    "load",
    "way",
    "in time",
    "late",
    "refused",
    "worst customer",
    "worst kind",
    "worst 2 s",
    "first p50 ms",
    "first p95 ms",
  ]];
  for (const load of LOADS) {
    const lines = Object.entries(VARIANTS).map(([name, policies]) => {
      const outcome = simulateLoad({
        ...policies,
        seed: SEED,
        figures: SITE_PROFILE,
        targets: siteTargets(),
        load,
        hosts: HOSTS,
        durationMs: DURATION_MS,
      });
      rows.push([
        load.name,
        name,
        ...[
          outcome.inTime,
          outcome.late,
          outcome.refused,
          outcome.worstCustomer,
          outcome.worstKind,
          outcome.worstWindow,
        ].map((share) => share.toFixed(3)),
        Math.round(outcome.firstP50Ms),
        Math.round(outcome.firstP95Ms),
      ]);
      return { name, values: outcome.windows };
    });
    const file = `${CHART_FOLDER}/placed_days-${
      load.name.replaceAll(" ", "-")
    }.svg`;
    writeFileSync(file, drawChart(`share in time, ${load.name}`, lines));
  }
  printRows(rows);
  console.log(`\nseed ${SEED}, ${HOSTS} hosts; charts in ${CHART_FOLDER}`);
  return Promise.resolve();
}

/**
 * Days of callers on a placed model: the product's plan, choice of paths and
 * queue against plain ones, each alone, under the loads that they answer.
 * Prints a table and draws a chart a load into `dist/charts/`.
 *
 * @module
 */

import { mkdirSync, writeFileSync } from "node:fs";
import { drawChart } from "./placed/chart.ts";
import { playDay } from "./placed/day.ts";
import { LOADS } from "./placed/loads.ts";
import { PLANNERS } from "./placed/planners.ts";
import { SITE_PROFILE, siteTargets } from "../test/reference_site.ts";
import type { DayOptions } from "./placed/types.ts";
import { printRows } from "./tables/rows.ts";

const SEED = 20_261_203;
const HOSTS = 9;
const DURATION_MS = 24_000;
const CHARTS = "dist/charts";

type Ways = Pick<DayOptions, "planner" | "pathWay" | "queueWay">;

const PRODUCT: Ways = {
  planner: PLANNERS.product,
  pathWay: "cost",
  queueWay: "ranked",
};
const WAYS: Readonly<Record<string, Ways>> = {
  product: PRODUCT,
  "plan: fewest targets": { ...PRODUCT, planner: PLANNERS["fewest targets"] },
  "plan: most copies": { ...PRODUCT, planner: PLANNERS["most copies"] },
  "paths: round robin": { ...PRODUCT, pathWay: "round-robin" },
  "paths: random": { ...PRODUCT, pathWay: "random" },
  "queue: none": { ...PRODUCT, queueWay: "none" },
  "queue: first come": { ...PRODUCT, queueWay: "first-come" },
};

/** Prints the table and draws the charts. */
export function run(): Promise<void> {
  mkdirSync(CHARTS, { recursive: true });
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
    const lines = Object.entries(WAYS).map(([name, ways]) => {
      const outcome = playDay({
        ...ways,
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
    const file = `${CHARTS}/placed_days-${load.name.replaceAll(" ", "-")}.svg`;
    writeFileSync(file, drawChart(`share in time, ${load.name}`, lines));
  }
  printRows(rows);
  console.log(`\nseed ${SEED}, ${HOSTS} hosts; charts in ${CHARTS}`);
  return Promise.resolve();
}

/**
 * Compares placement plans on the reference site and on the deployments A and B
 * of docs/hard-load.md: what the loss of three targets of one path takes away,
 * how unevenly first-stage targets are used, and capacity and prefill speed by
 * failure domain.
 *
 * @module
 */

import { FLEETS } from "./plans/fleets.ts";
import { measurePlan } from "./plans/plan_measures.ts";
import { PLAN_VARIANTS } from "./plans/plan_variants.ts";
import { printRows } from "./tables/rows.ts";

const SEED = 20_261_204;

export function run(): Promise<void> {
  const rows: (string | number)[][] = [[
    "fleet",
    "plan",
    "touched, mean",
    "worst",
    "first lost, mean",
    "worst",
    "whole in each domain",
    "busiest first",
    "first holders",
    "kilotokens",
    "prefill, kilotokens/s",
    "stages",
    "ms a token",
    "without path",
  ]];
  for (const fleet of FLEETS) {
    for (const [name, planner] of Object.entries(PLAN_VARIANTS)) {
      const orders = planner(fleet.figures, fleet.targets);
      const figures = measurePlan(fleet, orders, SEED);
      rows.push([
        fleet.name,
        name,
        figures.touchedMean.toFixed(3),
        figures.touchedWorst.toFixed(3),
        figures.firstLostMean.toFixed(3),
        figures.firstLostWorst.toFixed(3),
        figures.wholeInEachDomain.toFixed(3),
        figures.busiestFirst.toFixed(1),
        figures.firstHolders.join(" "),
        figures.kiloTokens.map(Math.round).join(" "),
        figures.prefillKiloTokensPerS.map(Math.round).join(" "),
        figures.stages.toFixed(1),
        figures.msPerToken.toFixed(1),
        figures.withoutPath.toFixed(3),
      ]);
    }
  }
  printRows(rows);
  console.log(`\nseed ${SEED}`);
  return Promise.resolve();
}

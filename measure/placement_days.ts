/**
 * Plays days of requests on the reference site and on the deployments A and B of
 * docs/hard-load.md under several placement plans. A and B get the highest rate
 * that the simulation serves in time under the earlier plan, since its targets
 * are slower than those of the deployments.
 *
 * @module
 */

import { FLEETS } from "./plans/fleets.ts";
import { playDays } from "./plans/plan_days.ts";
import { PLAN_VARIANTS } from "./plans/plan_variants.ts";
import { printRows } from "./tables/rows.ts";

const PLANS = [
  "product",
  "earlier plan",
  "slowest first",
  "slowest first, less memory",
  "even mix, by speed",
];
const DAYS = {
  "reference site": { requestsPerS: 45, burstFactor: 3, seedCount: 12 },
  A: { requestsPerS: 130, burstFactor: 1.6, seedCount: 2 },
  B: { requestsPerS: 180, burstFactor: 1.6, seedCount: 2 },
};
const FIRST_SEED = 11;

export function run(): Promise<void> {
  const rows: (string | number)[][] = [[
    "fleet",
    "plan",
    "load",
    "in time",
    "refused",
    "worst 2 s",
    "first p95 ms",
  ]];
  for (const [name, day] of Object.entries(DAYS)) {
    const fleet = FLEETS.find((one) => one.name === name);
    if (fleet === undefined) throw new Error(`unknown fleet "${name}"`);
    const { requestsPerS, burstFactor, seedCount } = day;
    const seeds = Array.from(
      { length: seedCount },
      (_, index) => FIRST_SEED + index,
    );
    for (const plan of PLANS) {
      const shares = playDays(
        { ...fleet, requestsPerS },
        PLAN_VARIANTS[plan],
        { seeds, burstFactor },
      );
      for (const { load, inTime, refused, worstWindow, firstP95Ms } of shares) {
        rows.push([
          name,
          plan,
          load,
          inTime.toFixed(3),
          refused.toFixed(3),
          worstWindow.toFixed(3),
          Math.round(firstP95Ms),
        ]);
      }
    }
  }
  printRows(rows);
  return Promise.resolve();
}

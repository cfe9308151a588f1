/**
 * Compares ways to select paths at 9, 79 and 200 hosts, under the usual load and
 * a burst of three times it, and measures the processor time of one choice.
 *
 * @module
 */

import process from "node:process";
import { silentLog } from "../src/common/logging.ts";
import { seededRandom } from "../src/common/random.ts";
import { PathChooser } from "../src/paths/path_chooser.ts";
import { TargetTable } from "../src/paths/target_table.ts";
import { kindOf } from "../test/reference_site.ts";
import { EventQueue } from "./chains/fakes.ts";
import { simulateLoad } from "./placed/day.ts";
import { LOADS } from "./placed/loads.ts";
import { PLANNERS } from "./placed/planners.ts";
import { COMPARED_SITES, type ComparedSite } from "./placed/sites.ts";
import type { SimulationOptions, SimulationOutcome } from "./placed/types.ts";
import { printRows } from "./tables/rows.ts";

const SEEDS = [21, 22, 23];
const DURATION_MS = 16_000;
const TIMED_CHOICES = 2_000;
const WITHOUT_REPORTS = { hasPrefillReports: false };

type Way = Partial<Omit<SimulationOptions, "loadInfo">> & {
  readonly hasPrefillReports?: boolean;
};

const WAYS: Readonly<Record<string, Way>> = {
  "noise that grows with the hosts, no reports": WITHOUT_REPORTS,
  "copies in turn, over all hosts": { pathPolicy: "round-robin" },
  "copies at random": { pathPolicy: "random" },
  "copies by speed": { pathPolicy: "by-speed" },
  "least loaded copy": { pathPolicy: "least-loaded" },
  "two random copies": { pathPolicy: "two-choices" },
  "estimate, no spread": {
    spread: { candidateShare: 1, noise: 0, ownWeight: 1, peerWeight: 1 },
  },
  "estimate, noise": { spread: { candidateShare: 1, noise: 8 } },
  "estimate, half of the candidates": {
    spread: { candidateShare: 0.5, noise: 0.1 },
  },
  "estimate, half, newest report": {
    spread: { candidateShare: 0.5, noise: 0.1, isSmoothed: false },
  },
  "estimate, as in use": {},
};
/** Hosts of larger fleets see too little of the load for requests to wait. */
const QUEUE_WAYS: Readonly<Record<string, Way>> = {
  "as in use, no queue": { queuePolicy: "none" },
  "as in use, 300 ms in the queue": { maxWaitMs: 300 },
};

export function run(): Promise<void> {
  timeChoices();
  for (const site of COMPARED_SITES) {
    for (const load of ["usual", "burst"]) compareWays(site, load);
  }
  return Promise.resolve();
}

function compareWays(site: ComparedSite, loadName: string): void {
  const load = LOADS.find(({ name }) => name === loadName) ?? LOADS[0];
  const ways = site === COMPARED_SITES[0] ? { ...WAYS, ...QUEUE_WAYS } : WAYS;
  const rows: (string | number)[][] = [[
    "way",
    "in time",
    "late",
    "refused",
    "worst 2 s",
    "first p50 ms",
    "first p95 ms",
    "busiest first",
    "error p50",
  ]];
  for (const [name, way] of Object.entries(ways)) {
    const outcomes = SEEDS.map((seed) =>
      simulateLoad(
        {
          planner: PLANNERS.product,
          pathPolicy: "cost",
          queuePolicy: "ranked",
          seed,
          figures: site.figures,
          targets: site.targets,
          hosts: site.hosts,
          loadInfo: {
            ...site.loadInfo,
            hasPrefillReports: way.hasPrefillReports ?? true,
          },
          durationMs: DURATION_MS,
          load: { ...load, requestsPerS: load.requestsPerS * site.rateFactor },
          ...way,
        } satisfies SimulationOptions & Way,
      )
    );
    const mean = (pick: (outcome: SimulationOutcome) => number): number =>
      outcomes.reduce((sum, one) => sum + pick(one), 0) / outcomes.length;
    rows.push([
      name,
      mean(({ inTime }) => inTime).toFixed(3),
      mean(({ late }) => late).toFixed(3),
      mean(({ refused }) => refused).toFixed(3),
      mean(({ worstWindow }) => worstWindow).toFixed(3),
      Math.round(mean(({ firstP50Ms }) => firstP50Ms)),
      Math.round(mean(({ firstP95Ms }) => firstP95Ms)),
      mean(({ busiestFirst }) => busiestFirst).toFixed(1),
      mean(({ estimateErrorP50 }) => estimateErrorP50).toFixed(2),
    ]);
  }
  console.log(`\n${site.name}, ${loadName}, seeds ${SEEDS.join(", ")}\n`);
  printRows(rows);
}

/** Processor time of a choice on the large site, without and with reports. */
function timeChoices(): void {
  const { figures, targets, hosts } = COMPARED_SITES[1];
  const rows: (string | number)[][] = [["reports", "µs a choice"]];
  for (const prefillTokenLayers of [undefined, 1_000]) {
    const clock = new EventQueue();
    const targetTable = new TargetTable({ clock, log: silentLog });
    for (const { targetId, span } of PLANNERS.product(figures, targets)) {
      const plan = targets.find(({ id }) => id === targetId);
      if (plan === undefined) continue;
      const { domain } = plan;
      targetTable.put({
        id: targetId,
        service: "model",
        address: "10.0.0.1:1",
        domain,
        state: "ready",
        bornMs: 0,
        kind: kindOf(plan),
        span,
      });
    }
    for (const target of targetTable.all()) {
      target.peerLoad = { streams: 20, tokenLayers: 0, prefillTokenLayers };
    }
    const chooser = new PathChooser({
      targetTable,
      clock,
      domain: "north",
      hosts: () => hosts,
      random: seededRandom(1),
    });
    const choose = (): void => {
      for (let i = 0; i < TIMED_CHOICES; i++) {
        chooser.choose({ service: "model", figures, tokens: 1_000 })?.release();
      }
    };
    choose();
    const started = process.cpuUsage();
    choose();
    const { user, system } = process.cpuUsage(started);
    rows.push([
      prefillTokenLayers === undefined ? "none" : "known",
      Math.round((user + system) / TIMED_CHOICES),
    ]);
  }
  console.log("\nprocessor time on 93 targets and 80 layers\n");
  printRows(rows);
}

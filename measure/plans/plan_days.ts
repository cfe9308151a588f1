/**
 * Plays days of requests on a placed fleet with the product's path selection and
 * wait queue: the usual load, a burst, and the loss of three targets of a path.
 *
 * @module
 */

import { simulateLoad } from "../placed/day.ts";
import type { LoadProfile, Planner } from "../placed/types.ts";
import type { Fleet } from "./fleets.ts";
import { runStreams } from "./plan_streams.ts";

const DISTURBANCE_START_MS = 6_000;
const BURST_MS = 4_000;
const DURATION_MS = 12_000;

export interface DayShares {
  readonly load: string;
  readonly inTime: number;
  readonly refused: number;
  readonly worstWindow: number;
  readonly firstP95Ms: number;
}

export function playDays(
  fleet: Fleet,
  planner: Planner,
  { seeds, burstFactor }: {
    readonly seeds: readonly number[];
    readonly burstFactor: number;
  },
): DayShares[] {
  const { figures, targets, hosts, requestsPerS } = fleet;
  const lost = lostTargets(fleet, planner);
  const loads: LoadProfile[] = [
    { name: "usual", requestsPerS },
    {
      name: "burst",
      requestsPerS,
      burst: {
        factor: burstFactor,
        fromMs: DISTURBANCE_START_MS,
        toMs: DISTURBANCE_START_MS + BURST_MS,
      },
    },
    {
      name: "three lost",
      requestsPerS,
      lost: { atMs: DISTURBANCE_START_MS, ids: lost },
    },
  ];
  return loads.map((load) => {
    const outcomes = seeds.map((seed) =>
      simulateLoad({
        seed,
        figures,
        targets,
        planner,
        pathPolicy: "cost",
        queuePolicy: "ranked",
        load,
        hosts,
        durationMs: DURATION_MS,
      })
    );
    const mean = (pick: (outcome: typeof outcomes[number]) => number) =>
      outcomes.reduce((sum, one) => sum + pick(one), 0) / outcomes.length;
    return {
      load: load.name,
      inTime: mean(({ inTime }) => inTime),
      refused: mean(({ refused }) => refused),
      worstWindow: mean(({ worstWindow }) => worstWindow),
      firstP95Ms: mean(({ firstP95Ms }) => firstP95Ms),
    };
  });
}

/** The first, a middle and the last target of the path that most streams use. */
function lostTargets(fleet: Fleet, planner: Planner): string[] {
  const orders = planner(fleet.figures, fleet.targets);
  const { streams } = runStreams(fleet, orders, 1);
  const counts = new Map<string, number>();
  for (const { targetIds } of streams) {
    const key = targetIds.join();
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  const [key] = [...counts].reduce((a, b) => b[1] > a[1] ? b : a);
  const ids = key.split(",");
  return [ids[0], ids[Math.floor(ids.length / 2)], ids.at(-1) ?? ids[0]];
}

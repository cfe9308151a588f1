/**
 * Compares the order of the wait queue with first come, first served and with
 * rank alone, under bursts and a lasting overload. Prints the table of
 * `docs/design/16-refusal-cost.md`.
 *
 * @module
 */

import { WaitQueue } from "../src/admission/wait_queue.ts";
import { EventQueue } from "./chains/fakes.ts";
import { QUEUE_LOADS } from "./refusal/loads.ts";
import { simulateQueues } from "./refusal/queue_load.ts";
import type { LoadOutcome, QueueOrder } from "./refusal/types.ts";
import { printRows } from "./tables/rows.ts";

const SEEDS = [21, 22, 23, 24, 25, 26, 27, 28, 29, 30];
const WAITING = 400;
/** Starts in the last seconds; more than a host of the largest fleets has. */
const STARTS = 60;
const RUNS = 2_000;
const ORDERS: readonly QueueOrder[] = ["cost", "rank", "first-come"];
const COLUMNS = {
  "value": ({ value }) => value,
  "in time": ({ inTime }) => inTime,
  "late": ({ late }) => late,
  "refused": ({ refused }) => refused,
  "left": ({ left }) => left,
  "worst second": ({ worstSecond }) => worstSecond,
  "worst kind": ({ worstKind }) => worstKind,
  "largest tenth": ({ largestTenth }) => largestTenth,
  "worst customer": ({ worstCustomer }) => worstCustomer,
  "served 0": ({ servedByRank }) => servedByRank[0],
  "served 1": ({ servedByRank }) => servedByRank[1],
  "served 2": ({ servedByRank }) => servedByRank[2],
  "most returns in 0.5 s": ({ peakReturns }) => peakReturns,
} satisfies Readonly<Record<string, (outcome: LoadOutcome) => number>>;

export function run(): Promise<void> {
  const rows = [["load", "order", ...Object.keys(COLUMNS)]];
  for (const [name, load] of Object.entries(QUEUE_LOADS)) {
    for (const order of ORDERS) {
      const outcomes = SEEDS.map((seed) =>
        simulateQueues({ ...load, seed, order })
      );
      const means = Object.values(COLUMNS).map((pick) =>
        outcomes.reduce((sum, outcome) => sum + pick(outcome), 0) /
        outcomes.length
      );
      rows.push([name, order, ...means.map((mean) => mean.toFixed(3))]);
    }
  }
  printRows(rows);
  printRows([["operation at 400 waiting requests", "mean us"], ...timeQueue()]);
  return Promise.resolve();
}

/** Times the queue alone; a search for a path comes on top where one is tried. */
function timeQueue(): [string, string][] {
  const events = new EventQueue();
  const queue = new WaitQueue({ clock: events, maxWaiting: WAITING });
  let id = 0;
  let free = STARTS;
  const add = (): void => {
    const requestId = String(id++);
    queue.add({
      rank: id % 3,
      untilMs: Infinity,
      needs: {
        requestId,
        contentId: requestId,
        kind: String(id % 3),
        size: 1_000 + id % 700,
        workMs: 10 + id % 7,
        receivedMs: events.nowMs(),
        goalMs: 500,
        patienceMs: Infinity,
      },
      tryStart: () => free-- > 0,
      refuse: () => {},
    });
  };
  const reserve = (): void => {
    const contentId = `refused ${id++}`;
    queue.reserveReturn({ rank: id % 3, contentId, receivedMs: 0 });
  };
  for (let count = 0; count < STARTS + WAITING; count++) add();
  events.runUntil(200);
  const operations = {
    "add and refuse one": add,
    "dispatch": () => queue.dispatch(),
    "expire": () => queue.expire(),
    "reserve a return": reserve,
  };
  return Object.entries(operations).map(([name, operate]) => {
    for (let run = 0; run < RUNS; run++) operate();
    const startedMs = performance.now();
    for (let run = 0; run < RUNS; run++) operate();
    const tookMs = performance.now() - startedMs;
    return [name, (tookMs * 1_000 / RUNS).toFixed(1)];
  });
}

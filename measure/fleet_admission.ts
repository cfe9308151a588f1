/**
 * Measures the fleet-wide admission in virtual time: what two bursts do to each
 * rank with and without it, and the bytes that hosts send and receive for it.
 *
 * @module
 */

import { DemandLoad } from "../test/demand_load.ts";
import { PeerFleet } from "../test/peer_fleet.ts";
import { printRows } from "./tables/rows.ts";

const SEEDS = [21, 22, 23];
const RUN_MS = 20_000;
const BURSTS = [
  { rank: 2, factor: 2.6, fromMs: 4_000, toMs: 10_300 },
  { rank: 0, factor: 1.9, fromMs: 13_000, toMs: 16_500 },
];
const TARGETS = 93;
const TRAFFIC_MS = 6_000;
const PERCENT = 100;

export async function run(): Promise<void> {
  await measureBursts();
  await measureTraffic();
}

async function measureBursts(): Promise<void> {
  const rows: (string | number)[][] = [[
    "hosts",
    "callers",
    "level",
    ...[0, 1, 2].flatMap((rank) => [
      `rank ${rank} served %`,
      "in time %",
      "wait ms",
    ]),
    "starts",
  ]];
  for (const hosts of [9, 79, 195]) {
    for (const retriesAtOnce of [false, true]) {
      for (const usesLevel of [false, true]) {
        rows.push([
          hosts,
          retriesAtOnce ? "retry at once" : "leave",
          usesLevel ? "yes" : "no",
          ...await burstsOver(hosts, { retriesAtOnce, usesLevel }),
        ]);
      }
    }
  }
  printRows(rows);
}

async function burstsOver(
  hosts: number,
  options: { readonly retriesAtOnce: boolean; readonly usesLevel: boolean },
): Promise<number[]> {
  const loads: DemandLoad[] = [];
  for (const seed of SEEDS) {
    const fleet = new PeerFleet(hosts);
    await fleet.start();
    const load = loadOver(fleet, { ...options, seed, bursts: BURSTS });
    await load.run(RUN_MS);
    fleet.close();
    loads.push(load);
  }
  const ranks = [0, 1, 2].flatMap((rank) => {
    const sum = (field: "started" | "refused" | "inTime" | "waitedMs") =>
      loads.reduce((total, { results }) => total + results[rank][field], 0);
    const started = sum("started");
    const ended = started + sum("refused");
    return [
      Math.round(started / ended * PERCENT * 10) / 10,
      Math.round(sum("inTime") / ended * PERCENT * 10) / 10,
      Math.round(sum("waitedMs") / started),
    ];
  });
  return [
    ...ranks,
    loads.reduce((sum, { startedCount }) => sum + startedCount, 0),
  ];
}

async function measureTraffic(): Promise<void> {
  const rows: (string | number)[][] = [[
    "hosts",
    "in the states",
    "received B/s mean",
    "received B/s most",
    "sent B/s mean",
    "sent B/s most",
  ]];
  for (const hosts of [9, 79, 195]) {
    for (const carries of ["loads", "and prefill work", "and demand"]) {
      const traffic = await trafficOf(hosts, carries);
      rows.push([hosts, carries, ...traffic]);
    }
  }
  printRows(rows);
}

/** Traffic in a steady overload, each host with streams on some targets. */
async function trafficOf(hosts: number, carries: string): Promise<number[]> {
  const fleet = new PeerFleet(hosts, TARGETS);
  await fleet.start();
  const burst = { rank: 2, factor: 2.6, fromMs: 0, toMs: RUN_MS };
  const load = loadOver(fleet, { seed: SEEDS[0], bursts: [burst] });
  fleet.hosts.forEach(({ targets }, index) => {
    targets.all().forEach(({ ownLoad }, position) => {
      if (position % 5 !== index % 5 || position % 7 > 2) return;
      Object.assign(ownLoad, { streams: 1, tokenLayers: 12_345 });
      if (carries === "loads") return;
      const prefillTokenLayers = position % 2 === 0 ? 0 : 81_920;
      Object.assign(ownLoad, { prefillTokenLayers });
    });
  });
  const play = (ms: number): Promise<void> =>
    carries === "and demand" ? load.run(ms) : fleet.clock.advance(ms);
  await play(3_000);
  for (const { sent, received } of fleet.hosts) {
    Object.assign(sent, { messages: 0, bytes: 0 });
    Object.assign(received, { messages: 0, bytes: 0 });
  }
  await play(TRAFFIC_MS);
  const traffic = (["received", "sent"] as const).flatMap((direction) => {
    const rates = fleet.hosts.map((host) =>
      host[direction].bytes * 1_000 / TRAFFIC_MS
    );
    const mean = rates.reduce((a, b) => a + b, 0) / hosts;
    return [Math.round(mean), Math.round(Math.max(...rates))];
  });
  fleet.close();
  return traffic;
}

function loadOver(
  fleet: PeerFleet,
  options: Pick<
    ConstructorParameters<typeof DemandLoad>[0],
    "seed" | "bursts" | "usesLevel" | "retriesAtOnce"
  >,
): DemandLoad {
  const scale = fleet.hosts.length / 79;
  return new DemandLoad({
    fleet,
    ratesPerS: [70 * scale, 98 * scale, 112 * scale],
    slots: Math.round(600 * scale),
    serviceMs: 2_000,
    ...options,
  });
}

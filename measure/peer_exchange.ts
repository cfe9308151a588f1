/**
 * Measures what hosts of fleets of several sizes send to and receive from each
 * other, and how long the word on a lost target takes to reach all of them, in
 * virtual time and with load on every target.
 *
 * @module
 */

import { markUnresponsive, PeerFleet } from "../test/peer_fleet.ts";
import { printRows } from "./tables/rows.ts";

const FLEETS = [
  { hosts: 9, targets: 36 },
  { hosts: 30, targets: 60 },
  { hosts: 82, targets: 103 },
  { hosts: 195, targets: 195 },
];
const MEASURED_MS = 6_000;
const STEP_MS = 5;
const MAX_WAIT_MS = 2_000;

export async function run(): Promise<void> {
  const rows: (string | number)[][] = [[
    "hosts",
    "targets",
    "received/s mean",
    "received/s most",
    "received B/s mean",
    "received B/s most",
    "sent B/s mean",
    "sent B/s most",
    "loss known median ms",
    "loss known by all ms",
  ]];
  for (const { hosts, targets } of FLEETS) {
    rows.push([hosts, targets, ...await measure(hosts, targets)]);
  }
  printRows(rows);
}

async function measure(count: number, targets: number): Promise<number[]> {
  const fleet = new PeerFleet(count, targets);
  await fleet.start();
  // Each host has some streams, on a few targets of its failure domain.
  fleet.hosts.forEach(({ targets: table }, index) => {
    table.all().forEach(({ ownLoad }, position) => {
      if (position % 5 !== index % 5 || position % 7 > 2) return;
      Object.assign(ownLoad, { streams: 1, tokenLayers: 12_345 });
    });
  });
  await fleet.clock.advance(3_000);
  for (const { sent, received } of fleet.hosts) {
    Object.assign(sent, { messages: 0, bytes: 0 });
    Object.assign(received, { messages: 0, bytes: 0 });
  }
  await fleet.clock.advance(MEASURED_MS);
  const perSecond = (
    direction: "sent" | "received",
    unit: "messages" | "bytes",
  ): number[] => {
    const rates = fleet.hosts.map((host) =>
      host[direction][unit] * 1_000 / MEASURED_MS
    );
    const sum = rates.reduce((a, b) => a + b, 0);
    return [sum / count, Math.max(...rates)].map(Math.round);
  };
  const traffic = [
    ...perSecond("received", "messages"),
    ...perSecond("received", "bytes"),
    ...perSecond("sent", "bytes"),
  ];
  const knownMs = await timesUntilKnown(fleet);
  fleet.close();
  return [...traffic, knownMs[Math.floor(count / 2)], knownMs[count - 1]];
}

/** Times after which each host holds a target for unresponsive, sorted. */
async function timesUntilKnown(fleet: PeerFleet): Promise<number[]> {
  for (const host of fleet.hosts.slice(-2)) markUnresponsive(host, "target-7");
  const timesMs = fleet.hosts.map(() => MAX_WAIT_MS);
  for (let ms = 0; ms < MAX_WAIT_MS; ms += STEP_MS) {
    fleet.hosts.forEach(({ targets }, index) => {
      const isKnown = targets.get("target-7")?.isResponsive === false;
      if (isKnown) timesMs[index] = Math.min(timesMs[index], ms);
    });
    await fleet.clock.advance(STEP_MS);
  }
  return timesMs.sort((a, b) => a - b);
}

/**
 * Simulates the dissemination of facts at four fleet sizes in virtual time: time
 * until every host has received a fact, and messages and bytes per fact and host,
 * for the broadcast tree in use and for push gossip.
 * Run: node dist/measure/fleet_dissemination.js
 *
 * @module
 */

import type { Fact } from "../src/fleet/services.ts";
import { FleetHosts } from "../test/fleet_hosts.ts";
import { PushGossip } from "../test/fleet_push_gossip.ts";

const SEED = 17;
const SIZES = [9, 100, 400, 1_600];
const LOSS_FRACTION = 0.01;
const FACT_COUNT = 5;
const OBSERVATION_MS = 5_000;
const STEP_MS = 10;
const GOSSIP_FANOUTS = [3, 5];

export async function run(): Promise<void> {
  const startedMs = performance.now();
  console.log(
    `Seed ${SEED}, loss ${LOSS_FRACTION}, 1 to 20 ms one way, ` +
      `${FACT_COUNT} facts of about 150 bytes\n`,
  );
  console.log(
    "| hosts | way | p95 ms | last ms | never within 5 s | messages a fact and host | bytes a fact and host |",
  );
  console.log("| --- | --- | --- | --- | --- | --- | --- |");
  for (const size of SIZES) {
    await measure(size, "tree");
    for (const fanout of GOSSIP_FANOUTS) await measure(size, fanout);
  }
  const tookS = (performance.now() - startedMs) / 1_000;
  console.log(`\nRun time ${tookS.toFixed(0)} s`);
}

async function measure(size: number, strategy: "tree" | number): Promise<void> {
  const fleet: FleetHosts = new FleetHosts({
    seed: SEED,
    network: {
      lossFraction: LOSS_FRACTION,
      isByteCountEnabled: true,
      isCounted: (method) =>
        method.endsWith(".push") || method === "facts.sync",
      delayMs: () => 1 + 19 * fleet.random(),
    },
  });
  await fleet.startAll(size);
  await fleet.clock.advance(5_000);
  const timesMs: number[] = [];
  const gossip = strategy === "tree"
    ? undefined
    : new PushGossip(fleet, strategy);
  let receivedCount = 0;
  for (const host of fleet.runningHosts()) {
    host.dissemination.onFact((fact) => {
      if (fact.topic === "strike") receivedCount += 1;
    });
  }
  const busy = await costOf(fleet, async () => {
    for (let index = 0; index < FACT_COUNT; index += 1) {
      const fact = makeFact(fleet, index);
      const name = `host-${index}`;
      receivedCount = 0;
      if (gossip === undefined) {
        fleet.get(name).dissemination.publish(fact);
      } else gossip.publish(name, fact);
      const count = () => gossip?.receiverCount(fact) ?? receivedCount;
      await recordArrivals(fleet, { timesMs, count });
    }
  });
  const expected = FACT_COUNT * (size - 1);
  const never = expected - timesMs.length;
  const facts = FACT_COUNT * size;
  const messages = busy.messages / facts;
  const bytes = busy.bytes / facts;
  const p95 = timesMs.sort((a, b) => a - b)[Math.floor(timesMs.length * 0.95)];
  const label = strategy === "tree" ? "tree" : `gossip to ${strategy}`;
  console.log(
    `| ${size} | ${label} | ${p95} | ${timesMs.at(-1)} | ${never} | ${
      messages.toFixed(1)
    } | ${bytes.toFixed(0)} |`,
  );
  fleet.stop();
}

async function recordArrivals(
  fleet: FleetHosts,
  arrivals: { readonly timesMs: number[]; readonly count: () => number },
): Promise<void> {
  let recorded = 0;
  for (let atMs = STEP_MS; atMs <= OBSERVATION_MS; atMs += STEP_MS) {
    await fleet.clock.advance(STEP_MS);
    const count = arrivals.count();
    for (; recorded < count; recorded += 1) arrivals.timesMs.push(atMs);
  }
}

async function costOf(
  fleet: FleetHosts,
  work: () => Promise<void>,
): Promise<{ messages: number; bytes: number }> {
  fleet.network.resetCounts();
  await work();
  let messages = 0;
  let bytes = 0;
  for (const { network } of fleet.runningHosts()) {
    messages += network.sentCalls + network.receivedCalls;
    bytes += network.sentBytes + network.receivedBytes;
  }
  return { messages, bytes };
}

function makeFact(fleet: FleetHosts, index: number): Fact {
  return {
    topic: "strike",
    key: `fingerprint-0123456789abcdef-${index}`,
    sequence: 1,
    data: { target: "target-0123", count: 1 },
    expiresAtWallMs: fleet.clock.wallMs() + 60_000,
  };
}

if (process.argv[1] === import.meta.filename) await run();

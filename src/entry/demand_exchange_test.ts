import { WaitQueue } from "../admission/wait_queue.ts";
import { expect, test } from "vitest";
import { DemandLoad, type DemandLoadOptions } from "../../test/demand_load.ts";
import { ManualClock } from "../../test/manual_clock.ts";
import { type FleetHost, PeerFleet } from "../../test/peer_fleet.ts";
import { silentLog } from "../common/logging.ts";
import type { ReceivedDemand } from "../peers/demand_codec.ts";
import { DemandExchange } from "./demand_exchange.ts";

const SEED = 11;
/** Least urgent kind, then the most urgent one, as in deployment A. */
const BURSTS = [
  { rank: 2, factor: 2.6, fromMs: 3_000, toMs: 9_300 },
  { rank: 0, factor: 1.9, fromMs: 11_300, toMs: 14_800 },
];
const END_MS = 14_800;

/** A load of about 0.93 of the capacity, by the number of hosts. */
function loadOn(fleet: PeerFleet, options: Partial<DemandLoadOptions> = {}) {
  const scale = fleet.hosts.length / 79;
  return new DemandLoad({
    fleet,
    seed: SEED,
    ratesPerS: [70 * scale, 98 * scale, 112 * scale],
    slots: Math.round(600 * scale),
    serviceMs: 2_000,
    bursts: BURSTS,
    ...options,
  });
}

async function startFleet(count: number): Promise<PeerFleet> {
  const fleet = new PeerFleet(count);
  await fleet.start();
  return fleet;
}

async function played(count: number, options: Partial<DemandLoadOptions>) {
  const fleet = await startFleet(count);
  const load = loadOn(fleet, options);
  await load.run(END_MS + 2_000);
  fleet.close();
  return load;
}

function expectFair(load: DemandLoad): void {
  const [most, middle, least] = load.servedShares();
  expect(most).toBeGreaterThanOrEqual(middle - 0.05);
  expect(middle).toBeGreaterThanOrEqual(least - 0.05);
  const all = load.startedCount / load.endedCount;
  for (const share of [most, middle, least]) {
    expect(share).toBeGreaterThanOrEqual(all / 4);
  }
}

function isOpen({ demand }: FleetHost): boolean {
  return demand.level.of("s").rank === Infinity;
}

test.each([[9, false], [9, true], [79, false], [79, true]])(
  "in two bursts over %i hosts the urgent ranks hardly wait; callers retry at once: %s",
  async (count, retriesAtOnce) => {
    const load = await played(count, { retriesAtOnce });
    const alone = await played(count, { retriesAtOnce, usesLevel: false });
    expectFair(load);
    const [urgent] = load.results;
    const [urgentAlone] = alone.results;
    expect(urgent.refused).toBeLessThanOrEqual(urgentAlone.refused / 2);
    expect(urgent.waitedMs).toBeLessThan(urgentAlone.waitedMs * 0.75);
    // Holding requests back costs little of the capacity.
    expect(load.startedCount).toBeGreaterThan(alone.startedCount * 0.97);
  },
  60_000,
);

test.each([9, 79, 195])(
  "the level of %i hosts falls back within two seconds after the load",
  async (count) => {
    const fleet = await startFleet(count);
    const load = loadOn(fleet, { bursts: [BURSTS[0]] });
    await load.run(5_000);
    for (let i = 0; i < 40 && fleet.hosts.some(isOpen); i++) {
      await load.run(100);
    }
    expect(fleet.hosts.some(isOpen)).toBe(false);
    load.rateFactor = 0.3;
    await load.run(2_000);
    expect(fleet.hosts.every(isOpen)).toBe(true);
    fleet.close();
  },
  60_000,
);

/** What happens to some hosts from the middle of the first burst on, for 3 s. */
const FAULTS: readonly [
  string,
  "killed" | "frozen" | "cut off" | "slow",
  readonly string[],
][] = [
  ["a host", "killed", ["host-31"]],
  ["a relay", "killed", ["host-1"]],
  ["a relay", "slow", ["host-1"]],
  ["a pair of relays", "frozen", ["host-1", "host-6"]],
  ["a failure domain", "frozen", ["domain-1"]],
  ["a failure domain", "cut off", ["domain-1"]],
];

test.each(FAULTS)(
  "a burst over 79 hosts in which %s is %s puts no kind last, and leaves nothing behind",
  async (_name, fault, names) => {
    const fleet = await startFleet(79);
    let isOn = false;
    const isHit = ({ record: { id, domain } }: FleetHost): boolean =>
      names.includes(id) || names.includes(domain);
    const isFrozen = (host: FleetHost): boolean =>
      isOn && fault === "frozen" && isHit(host);
    const load = loadOn(fleet, { isFrozen });
    await load.run(6_000);
    const hit = fleet.hosts.filter(isHit);
    const ids = new Set(hit.map(({ record }) => record.id));
    isOn = true;
    if (fault === "killed") hit.forEach((host) => fleet.kill(host));
    fleet.isCut = (from, to) =>
      isOn && (fault === "frozen" || fault === "cut off") &&
      ids.has(from.id) !== ids.has(to.id);
    fleet.delayMs = ({ id }) =>
      isOn && fault === "slow" && ids.has(id) ? 1_500 : 0;
    await load.run(3_000);
    isOn = false;
    await load.run(END_MS - 9_000);
    expectFair(load);
    load.rateFactor = 0;
    await load.run(3_200);
    expect(fleet.live().every(isOpen)).toBe(true);
    expect(fleet.live().map(({ demand }) => demand.fleetWaiting()))
      .toEqual(fleet.live().map(() => 0));
    fleet.close();
  },
  60_000,
);

test.each([[9, 1_500], [79, 3_300]])(
  "the demand of a killed host, of %i, leaves the sums within %i ms",
  async (count, withinMs) => {
    const fleet = await startFleet(count);
    const [killed] = fleet.hosts.slice(-1);
    killed.demand.demand.setWaiting("s", 1, 500);
    await fleet.clock.advance(2_500);
    const others = fleet.hosts.slice(0, -1);
    const waiting = () => others.map(({ demand }) => demand.fleetWaiting());
    expect(waiting()).toEqual(others.map(() => 500));
    // Its own requests, which come back in the digests, count once.
    expect(killed.demand.fleetWaiting()).toBe(500);
    fleet.kill(killed);
    await fleet.clock.advance(withinMs);
    expect(waiting()).toEqual(others.map(() => 0));
    fleet.close();
  },
);

test("prefill work of all other hosts reaches a target's load, through digests too", async () => {
  for (const count of [9, 60]) {
    const fleet = await startFleet(count);
    for (const { targets } of fleet.hosts) {
      const load = targets.get("target-1")?.ownLoad;
      if (load === undefined) continue;
      Object.assign(load, { streams: 1, prefillTokenLayers: 1_000 });
    }
    await fleet.clock.advance(3_000);
    for (const { targets } of fleet.hosts) {
      expect(targets.get("target-1")?.peerLoad.prefillTokenLayers)
        .toBe(1_000 * (count - 1));
      expect(targets.get("target-2")?.peerLoad.prefillTokenLayers).toBe(0);
    }
    fleet.close();
  }
});

function exchangeOver(peers: ReceivedDemand[]) {
  const warnings: unknown[] = [];
  const exchange = new DemandExchange({
    clock: new ManualClock(),
    log: { ...silentLog, warn: (_message, fields) => warnings.push(fields) },
    random: () => 0.5,
    peers: () => ({ peerDemands: () => peers, hostCount: 2 }),
  });
  return { exchange, warnings };
}

test("demand older than two seconds is ignored, and the host then decides alone", () => {
  const ranks = [
    { rank: 0, offeredPerS: 90, startedPerS: 50, waiting: 40 },
    { rank: 1, offeredPerS: 90, startedPerS: 50, waiting: 40 },
  ];
  const demand = [{ service: "s", ranks }];
  for (const [ageMs, rank] of [[2_000, 0], [2_001, Infinity]]) {
    const { exchange } = exchangeOver([{ demand, ageMs, includesOwn: false }]);
    exchange.demand.setWaiting("s", 1, 5);
    expect(exchange.level.of("s").rank).toBe(rank);
  }
});

test("a malformed list is logged once for each source, and for a limited number", () => {
  const { exchange, warnings } = exchangeOver([]);
  for (let i = 0; i < 2_000; i++) {
    const facts = { malformedLists: ["demand"] as const };
    exchange.handleReceived(facts, "host-1");
    exchange.handleReceived(facts, `host-${i}`);
  }
  expect(warnings.length).toBe(500);
  expect(warnings[0]).toEqual({ list: "demand", source: "host-1" });
});

test("the wait queue of a service tells its counts, and follows the level of the service", () => {
  const clock = new ManualClock();
  const exchange = new DemandExchange({
    clock,
    log: silentLog,
    random: () => 0.5,
    peers: () => ({ peerDemands: () => [], hostCount: 1 }),
  });
  const queue = new WaitQueue({
    clock,
    maxWaiting: 10,
    ...exchange.of("s"),
  });
  queue.add({
    rank: 3,
    untilMs: clock.nowMs() + 1_000,
    tryStart: () => false,
    refuse: () => {},
  });
  expect(exchange.toShare()).toEqual([{
    service: "s",
    ranks: [{ rank: 3, offeredPerS: 1, startedPerS: 0, waiting: 1 }],
  }]);
  expect(exchange.of("s").mayStart?.(3)).toBe(true);
  expect(exchange.of("s").fleetWaitMs?.(3)).toBeUndefined();
});

import { expect, test } from "vitest";
import { DOMAINS, markUnresponsive, PeerFleet } from "../../test/peer_fleet.ts";
import type { HostRecord } from "../ports/types.ts";

/** Sends and receipts of the busiest and the mean host, a second. */
async function trafficOf(count: number) {
  const fleet = new PeerFleet(count);
  await fleet.start();
  for (const { sent, received } of fleet.hosts) {
    Object.assign(sent, { messages: 0, bytes: 0 });
    Object.assign(received, { messages: 0, bytes: 0 });
  }
  await fleet.clock.advance(6_000);
  const perS = fleet.hosts.map(({ sent, received }) =>
    (sent.messages + received.messages) / 6
  );
  fleet.close();
  return {
    mean: perS.reduce((sum, one) => sum + one, 0) / count,
    max: Math.max(...perS),
  };
}

test.each([9, 23, 60, 195])(
  "%i hosts agree on their number, one leader and one reader",
  async (count) => {
    const fleet = new PeerFleet(count);
    await fleet.start();
    expect(new Set(fleet.hosts.map(({ exchange }) => exchange.hostCount)))
      .toEqual(new Set([count]));
    expect(fleet.hosts.filter(({ exchange }) => exchange.isLeader()).length)
      .toBe(1);
    expect(
      fleet.hosts.filter(({ exchange }) => exchange.reader() === undefined)
        .length,
    ).toBe(1);
    fleet.close();
  },
);

test("what a host sends and receives does not grow with the fleet", async () => {
  const [small, large] = [await trafficOf(60), await trafficOf(180)];
  expect(large.mean).toBeLessThanOrEqual(small.mean * 1.25);
});

test("every host knows the load of all others within five broadcasts", async () => {
  const fleet = new PeerFleet(60);
  await fleet.start();
  for (const { targets } of fleet.hosts) {
    const load = targets.get("target-1")?.ownLoad;
    if (load !== undefined) load.streams = 2;
  }
  await fleet.clock.advance(3_000);
  for (const { targets } of fleet.hosts) {
    expect(targets.get("target-1")?.peerLoad.streams).toBe(2 * 59);
    expect(targets.get("target-3")?.slowness).toBe(2.5);
  }
  fleet.close();
});

test("two hosts' word on an unresponsive target reaches all others within 200 ms, with two relays down", async () => {
  const fleet = new PeerFleet(60);
  await fleet.start();
  for (const host of fleet.hosts.slice(0, DOMAINS)) fleet.kill(host);
  await fleet.clock.advance(3_000);
  const [a, b] = fleet.live().slice(-2);
  for (const host of [a, b]) markUnresponsive(host, "target-7");
  await fleet.clock.advance(200);
  const unaware = fleet.live().filter(({ targets }) =>
    targets.get("target-7")?.isResponsive
  );
  expect(unaware.map(({ record }) => record.id)).toEqual([]);
  fleet.close();
});

test("with one relay of every domain killed, no host loses sight of the others", async () => {
  const fleet = new PeerFleet(60);
  await fleet.start();
  for (const host of fleet.hosts.slice(0, DOMAINS)) fleet.kill(host);
  let least = Infinity;
  for (let i = 0; i < 50; i++) {
    await fleet.clock.advance(100);
    for (const { exchange } of fleet.live()) {
      least = Math.min(least, exchange.hostCount);
    }
  }
  expect(least).toBeGreaterThanOrEqual(54);
  fleet.close();
});

test("both relays of every domain killed at once: all others agree again within five seconds", async () => {
  const fleet = new PeerFleet(60);
  await fleet.start();
  for (const host of fleet.hosts.slice(0, 2 * DOMAINS)) fleet.kill(host);
  await fleet.clock.advance(5_000);
  const counts = fleet.live().map(({ exchange }) => exchange.hostCount);
  expect(new Set(counts)).toEqual(new Set([50]));
  expect(fleet.live().filter(({ exchange }) => exchange.isLeader()).length)
    .toBe(1);
  fleet.close();
});

test("with two datagrams of a hundred lost, no host counts less than nine tenths of the others", async () => {
  const fleet = new PeerFleet(60);
  fleet.lossShare = 0.02;
  await fleet.start();
  let least = Infinity;
  for (let i = 0; i < 40; i++) {
    await fleet.clock.advance(250);
    for (const { exchange } of fleet.hosts) {
      least = Math.min(least, exchange.hostCount);
    }
  }
  expect(least).toBeGreaterThanOrEqual(54);
  fleet.close();
});

test("a failure domain that is cut off is known as down, and back after the cut", async () => {
  const fleet = new PeerFleet(60);
  await fleet.start();
  const isInside = ({ domain }: HostRecord) => domain === "domain-1";
  fleet.isCut = (from, to) => isInside(from) !== isInside(to);
  await fleet.clock.advance(4_000);
  for (const { record, exchange } of fleet.hosts) {
    expect(exchange.hostCount).toBe(isInside(record) ? 12 : 48);
  }
  fleet.isCut = () => false;
  await fleet.clock.advance(4_000);
  for (const { exchange } of fleet.hosts) expect(exchange.hostCount).toBe(60);
  fleet.close();
});

test("a content that ended targets and a limit named at one host reach all hosts within 200 ms", async () => {
  const fleet = new PeerFleet(60);
  await fleet.start();
  const [host] = fleet.hosts.slice(-1);
  for (const lossCount of [1, 2, 3]) {
    host.quarantine.losses.recordLoss("content", {
      baseline: host.quarantine.losses.baseline("content"),
      lastEventId: undefined,
      process: `process-${lossCount}`,
    });
  }
  host.limits.observe("target-2", {
    limitPerS: 3,
    sentMs: fleet.clock.nowMs(),
    mayWithdraw: true,
  });
  await fleet.clock.advance(200);
  for (const { quarantine, limits } of fleet.hosts) {
    expect(quarantine.losses.isQuarantined("content")).toBe(true);
    expect(limits.limitedCount).toBe(1);
  }
  fleet.close();
});

test.each([9, 60])(
  "all of %i hosts learn within half a second who serves requests of others",
  async (count) => {
    const fleet = new PeerFleet(count);
    await fleet.start();
    const [first, second, third] = fleet.hosts;
    fleet.cutOff.set(first.record.id, ["s"]);
    fleet.stopping.add(second.record.id);
    for (const { exchange } of [first, second]) exchange.scheduleBroadcast();
    await fleet.clock.advance(500);
    for (const { record, exchange } of fleet.hosts) {
      const ids = (service: string) =>
        new Set(exchange.delegates(service).map(({ id }) => id));
      const others = fleet.hosts.map((host) => host.record.id)
        .filter((id) => id !== record.id && id !== second.record.id);
      expect(ids("other")).toEqual(new Set(others));
      expect(ids("s"))
        .toEqual(new Set(others.filter((id) => id !== first.record.id)));
    }
    const ofDomain = fleet.hosts.filter(({ record }) =>
      record.domain === third.record.domain
    );
    expect(third.exchange.domainHostCount).toBe(ofDomain.length);
    fleet.close();
  },
);

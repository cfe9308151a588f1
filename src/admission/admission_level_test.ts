import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import type { RankDemand } from "../peers/demand_codec.ts";
import { AdmissionLevel } from "./admission_level.ts";
import { FleetDemand } from "./fleet_demand.ts";
import { levelOf } from "./service_level.ts";

function rankOf(
  rank: number,
  [offeredPerS, startedPerS, waiting]: [number, number, number],
): RankDemand {
  return { rank, offeredPerS, startedPerS, waiting };
}

/** 100 starts per second, of which the first rank needs 70. */
const OVERLOAD = [
  rankOf(0, [50, 50, 20]),
  rankOf(1, [55, 40, 50]),
  rankOf(2, [100, 10, 90]),
];

/** A level over sums that a test sets. */
function levelOver(fleet: readonly RankDemand[] | undefined) {
  const clock = new ManualClock();
  const demand = new FleetDemand({ clock });
  const sums = { fleet };
  const level = new AdmissionLevel({
    clock,
    demand,
    fleetDemand: () => sums.fleet,
    exchangeIntervalMs: () => 600,
    random: () => 0,
  });
  return { clock, demand, level, sums };
}

test("ranks start in order up to the capacity, a share of the marginal one", () => {
  const level = levelOf(OVERLOAD, 100);
  expect(level.rank).toBe(1);
  // Seven eighths of 100 less the 70 of rank 0, of 105 requests of rank 1.
  expect(level.share).toBeCloseTo(17.5 / 105);
  expect(levelOf(OVERLOAD, 400).rank).toBe(Infinity);
});

test("the first rank with requests is not held back, whatever the capacity", () => {
  expect(levelOf([rankOf(-1, [0, 0, 0]), ...OVERLOAD], 1))
    .toMatchObject({ rank: 0, share: 1 });
});

test("estimated waits grow with the rank, are finite, and 0 if unknown", () => {
  const { waitMs } = levelOf(OVERLOAD, 100);
  expect([0, 1, 2].map(waitMs)).toEqual([200, 1_400, 12_800]);
  expect(waitMs(7)).toBeLessThanOrEqual(60_000);
  expect(levelOf(OVERLOAD, 0).waitMs(2)).toBe(0);
});

test("all ranks start while nothing waits, or without other hosts' demand", () => {
  const idle = OVERLOAD.map((one) => ({ ...one, waiting: 0 }));
  for (const fleet of [idle, undefined, []]) {
    const { level } = levelOver(fleet);
    expect(level.of("s")).toMatchObject({ rank: Infinity, share: 1 });
    expect(level.mayStart("s", 99)).toBe(true);
    expect(level.of("s").waitMs(99)).toBe(0);
  }
});

test("a starting rate of 0, as after a loss of power, holds nobody back", () => {
  const stopped = OVERLOAD.map((one) => ({ ...one, startedPerS: 0 }));
  expect(levelOver(stopped).level.mayStart("s", 2)).toBe(true);
});

test("a level that holds back more than it must is raised until all ranks start", async () => {
  const { clock, level, sums } = levelOver(OVERLOAD);
  expect(level.of("s").rank).toBe(1);
  // Fewer starts, since fewer were admitted; no admitted request waits.
  sums.fleet = [rankOf(0, [50, 50, 0]), rankOf(1, [55, 14, 90])];
  let waitedMs = 0;
  for (; level.of("s").rank < Infinity && waitedMs < 5_000; waitedMs += 100) {
    await clock.advance(100);
  }
  expect(waitedMs).toBeGreaterThanOrEqual(600);
  expect(waitedMs).toBeLessThanOrEqual(3 * 600);
});

test("a host starts the share of the marginal rank that the level gives", () => {
  const { demand, level } = levelOver(OVERLOAD);
  let started = 0;
  for (let i = 0; i < 420; i++) {
    demand.recordOffered("s", 1);
    if (!level.mayStart("s", 1)) continue;
    demand.recordStarted("s", 1);
    started++;
  }
  expect(started).toBeCloseTo(420 * 17.5 / 105, -1);
  expect(level.mayStart("s", 0)).toBe(true);
});

test("ranks behind get one start in eight, the longest unserved first", async () => {
  const { clock, demand, level } = levelOver(OVERLOAD);
  const starts = new Map([[2, 0], [3, 0]]);
  for (const rank of starts.keys()) demand.setWaiting("s", rank, 45);
  for (let ms = 0; ms < 10_000; ms += 20) {
    await clock.advance(20);
    for (const [rank, count] of starts) {
      if (!level.mayStart("s", rank)) continue;
      demand.recordStarted("s", rank);
      starts.set(rank, count + 1);
    }
  }
  // An eighth of 100 for the 90 of 140 requests behind that wait at this host.
  const [two = 0, three = 0] = starts.values();
  expect(Math.abs(two + three - 10 * 12.5 * 90 / 140)).toBeLessThanOrEqual(3);
  expect(Math.abs(two - three)).toBeLessThanOrEqual(1);
});

test("turns that no request could use are not saved for a burst", async () => {
  const { clock, demand, level } = levelOver(OVERLOAD);
  demand.setWaiting("s", 2, 50);
  expect(level.mayStart("s", 0)).toBe(true);
  await clock.advance(60_000);
  let started = 0;
  while (level.mayStart("s", 2) && started < 50) {
    demand.recordStarted("s", 2);
    started++;
  }
  expect(started).toBe(3);
});

test("counts cover the last second, and idle ranks are left out", async () => {
  const { clock, demand } = levelOver(undefined);
  for (let i = 0; i < 30; i++) {
    demand.recordOffered("s", 0);
    await clock.advance(100);
  }
  demand.setWaiting("s", 4, 2);
  const [{ ranks }] = demand.current();
  expect(ranks.map(({ rank }) => rank)).toEqual([0, 4]);
  expect(Math.abs(ranks[0].offeredPerS - 10)).toBeLessThanOrEqual(1);
  demand.setWaiting("s", 4, 0);
  await clock.advance(1_100);
  expect(demand.current()).toEqual([]);
});

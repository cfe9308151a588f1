import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { ReturnSchedule } from "./return_schedule.ts";

/** A schedule at ten starts a second, or at what a test sets. */
class Fixture {
  readonly clock = new ManualClock();
  readonly waiting = new Map<number, number>();
  startsPerMs: number | undefined = 0.01;
  urgentOffersPerMs = 0;
  #ids = 0;
  readonly schedule = new ReturnSchedule({
    clock: this.clock,
    random: () => 0.5,
    rates: {
      startsPerMs: () => this.startsPerMs,
      urgentOffersPerMs: () => this.urgentOffersPerMs,
    },
    waitingUpTo: (rank) =>
      [...this.waiting].reduce(
        (sum, [other, count]) => other <= rank ? sum + count : sum,
        0,
      ),
  });

  reserve(rank = 1, contentId = String(this.#ids++)): number | undefined {
    const receivedMs = this.clock.nowMs();
    return this.schedule.reserve({ rank, contentId, receivedMs });
  }
}

test("refused callers return no faster than requests are started", () => {
  const fixture = new Fixture();
  const times = Array.from({ length: 40 }, () => fixture.reserve());
  expect(times.slice(0, 4).map((ms) => Math.round(ms!)))
    .toEqual([200, 300, 400, 500]);
  expect(new Set(times).size).toBe(40);
});

test("callers return after the requests that wait before them", () => {
  const fixture = new Fixture();
  fixture.waiting.set(0, 5).set(2, 10);
  expect(fixture.reserve(1)).toBeCloseTo(500);
  expect(fixture.reserve(2)).toBeCloseTo(1_500);
});

test("a less urgent rank leaves slots to the more urgent ranks", () => {
  const fixture = new Fixture();
  fixture.urgentOffersPerMs = 0.005;
  expect([1, 2, 3].map(() => Math.round(fixture.reserve(1)!)))
    .toEqual([200, 400, 600]);
  fixture.urgentOffersPerMs = 0;
  expect([1, 2, 3].map(() => Math.round(fixture.reserve(0)!)))
    .toEqual([300, 500, 700]);
});

test("a caller that returns early and is refused again keeps its slot", async () => {
  const fixture = new Fixture();
  for (let i = 0; i < 8; i++) fixture.reserve();
  expect(fixture.reserve(1, "hasty")).toBeCloseTo(1_000);
  await fixture.clock.advance(100);
  fixture.schedule.release("3");
  expect(fixture.reserve(1, "hasty")).toBeCloseTo(900);
  // The repetition takes no slot from others.
  expect(fixture.reserve()).toBeCloseTo(400);
  expect(fixture.reserve()).toBeCloseTo(1_000);
});

test("the slot of a request that was started is free again", () => {
  const fixture = new Fixture();
  fixture.reserve(1, "started");
  fixture.schedule.release("started");
  expect(fixture.reserve()).toBeCloseTo(200);
});

test("times lie between 0.2 s and 5 s, and beyond the slots are spread", () => {
  const fixture = new Fixture();
  for (let i = 0; i < 200; i++) {
    const returnMs = fixture.reserve();
    expect(returnMs).toBeGreaterThanOrEqual(200);
    expect(returnMs).toBeLessThanOrEqual(5_000);
  }
  expect(fixture.reserve()).toBe(5_000 * 0.875);
});

test("without a rate of starts there is no time", () => {
  const fixture = new Fixture();
  fixture.startsPerMs = undefined;
  expect(fixture.reserve()).toBeUndefined();
});

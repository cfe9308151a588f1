import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import type { RequestNeeds } from "./refusal_cost.ts";
import {
  type Refusal,
  type Waiter,
  WaitQueue,
  type WaitQueueOptions,
} from "./wait_queue.ts";

/** A queue before a number of free slots, one for each request. */
class Slots {
  readonly clock = new ManualClock();
  readonly queue: WaitQueue;
  readonly started: string[] = [];
  readonly refused = new Map<string, Refusal>();
  searches = 0;
  free = 0;

  constructor(options: Partial<WaitQueueOptions> = {}) {
    this.queue = new WaitQueue({
      clock: this.clock,
      maxWaiting: 400,
      random: () => 0.5,
      ...options,
    });
  }

  add(
    name: string,
    { rank = 1, waitMs = 1_200, ...needs }:
      & Partial<RequestNeeds>
      & { readonly rank?: number; readonly waitMs?: number } = {},
  ): Waiter {
    const waiter: Waiter = {
      rank,
      untilMs: this.clock.nowMs() + waitMs,
      needs: {
        requestId: name,
        contentId: name,
        kind: "kind",
        size: 1_000,
        workMs: 10,
        receivedMs: this.clock.nowMs(),
        goalMs: 500,
        patienceMs: 2_000,
        ...needs,
      },
      tryStart: () => {
        this.searches++;
        if (this.free === 0) return false;
        this.free--;
        this.started.push(name);
        return true;
      },
      refuse: (refusal) => this.refused.set(name, refusal),
    };
    this.queue.add(waiter);
    return waiter;
  }

  release(slots = 1): void {
    this.free += slots;
    this.queue.dispatch();
  }

  /** Starts requests at a steady rate, so that the rate is known. */
  async startAt(perS: number): Promise<void> {
    for (let count = 0; count < 2 * perS; count++) {
      this.free++;
      this.add("before");
      await this.clock.advance(1_000 / perS);
    }
    this.started.length = 0;
  }
}

test("within a rank, the request with the most value for its work goes first", () => {
  const slots = new Slots();
  slots.add("mean");
  slots.add("light", { size: 500, workMs: 4 });
  slots.release();
  expect(slots.started).toEqual(["light"]);
});

test("a request that can still be in time goes before one that can't", async () => {
  const slots = new Slots();
  slots.add("late");
  await slots.clock.advance(550);
  slots.add("fresh");
  slots.release();
  expect(slots.started).toEqual(["fresh"]);
});

test("of two requests the one with the shorter goal goes first", async () => {
  const slots = new Slots();
  slots.add("patient", { goalMs: 1_000 });
  slots.add("pressed", { goalMs: 500 });
  await slots.clock.advance(200);
  slots.release();
  expect(slots.started).toEqual(["pressed"]);
});

test("a full queue refuses the cheapest request and tells for whom", () => {
  const slots = new Slots({ maxWaiting: 2 });
  slots.add("cheap", { size: 500, workMs: 20 });
  slots.add("mean");
  slots.add("urgent", { rank: 0 });
  expect([...slots.refused.keys()]).toEqual(["cheap"]);
  expect(slots.refused.get("cheap")).toMatchObject({
    reason: "queue full",
    rank: 1,
    relativeSize: 1,
    canBeInTime: true,
    inFavourOf: "urgent",
  });
});

test("a request is refused once its first event can't reach its caller", async () => {
  const slots = new Slots();
  slots.queue.recordFirstEvent(900);
  slots.add("waits", { waitMs: 5_000 });
  await slots.clock.advance(1_090);
  slots.queue.expire();
  expect(slots.refused.size).toBe(0);
  await slots.clock.advance(10);
  slots.queue.expire();
  expect(slots.refused.get("waits")?.reason).toBe("first event too late");
});

test("a request whose estimated wait is too long is refused immediately", async () => {
  const slots = new Slots();
  await slots.startAt(5);
  for (let i = 0; i < 20; i++) slots.add(`waits-${i}`);
  // The wait has just begun, so the rate of starts may not be the capacity.
  expect(slots.refused.size).toBe(0);
  await slots.clock.advance(300);
  slots.add("newest");
  const [refusal] = slots.refused.values();
  expect(refusal).toMatchObject({ reason: "estimated wait too long" });
  expect(refusal.estimatedWaitMs).toBeGreaterThan(900);
  // At five a second, seven start within 1.2 s and the tolerance of a half.
  expect(slots.queue.length).toBeGreaterThanOrEqual(5);
  expect(slots.queue.length).toBeLessThanOrEqual(9);
});

test("one in eight starts goes to a less urgent rank, which is not refused before", async () => {
  const slots = new Slots();
  await slots.startAt(5);
  const urgent = { rank: 0, waitMs: 9_000, patienceMs: 9_000 };
  for (let i = 0; i < 12; i++) slots.add(`ahead-${i}`, urgent);
  // Too short for its estimated wait behind all urgent requests.
  slots.add("less urgent", { rank: 2, waitMs: 1_900 });
  for (let i = 0; i < 60; i++) {
    slots.add(`urgent-${i}`, urgent);
    await slots.clock.advance(200);
    slots.release();
    if (slots.started.includes("less urgent")) break;
  }
  expect(slots.refused.has("less urgent")).toBe(false);
  expect(slots.started.indexOf("less urgent")).toBe(7);
});

test("a rank that may not start waits, also with free slots, and blocks no other", () => {
  let lowest = 0;
  const slots = new Slots({ mayStart: (rank) => rank <= lowest });
  slots.free = 2;
  slots.add("held", { rank: 1 });
  slots.add("urgent", { rank: 0 });
  slots.add("also held", { rank: 2 });
  expect(slots.started).toEqual(["urgent"]);
  lowest = 1;
  slots.queue.dispatch();
  expect(slots.started).toEqual(["urgent", "held"]);
});

test("a rank is refused immediately if the fleet's wait is longer than it can wait", async () => {
  const slots = new Slots({
    mayStart: (rank) => rank === 0,
    fleetWaitMs: (rank) => rank === 0 ? 0 : 4_000,
  });
  slots.add("first", { rank: 1 });
  slots.add("held", { rank: 2 });
  await slots.clock.advance(300);
  slots.queue.dispatch();
  expect([...slots.refused.keys()]).toEqual(["first", "held"]);
  expect(slots.refused.get("held")?.estimatedWaitMs).toBe(4_000);
  slots.free = 8;
  for (let i = 0; i < 8; i++) slots.add(`urgent-${i}`, { rank: 0 });
  expect(slots.queue.reserveReturn({ rank: 2, contentId: "h", receivedMs: 0 }))
    .toBe(4_000);
});

test("offered, started and waiting requests are counted by rank", () => {
  const counts: string[] = [];
  const slots = new Slots({
    observer: {
      onOffered: (rank) => counts.push(`offered ${rank}`),
      onStarted: (rank) => counts.push(`started ${rank}`),
      onWaiting: (rank, count) => counts.push(`waiting ${rank}: ${count}`),
    },
  });
  const gone = slots.add("gone", { rank: 2 });
  slots.add("next", { rank: 1 });
  slots.release();
  slots.queue.remove(gone);
  expect(counts).toEqual([
    "offered 2",
    "waiting 2: 1",
    "offered 1",
    "waiting 1: 1",
    "started 1",
    "waiting 1: 0",
    "waiting 2: 0",
  ]);
  expect(slots.queue.waitingByRank.size).toBe(0);
});

test("a caller that returns before its time goes behind those that arrive", async () => {
  const slots = new Slots();
  await slots.startAt(5);
  const receivedMs = slots.clock.nowMs();
  const content = { rank: 1, contentId: "refused", receivedMs };
  for (let i = 0; i < 5; i++) {
    slots.queue.reserveReturn({ ...content, contentId: `${i}` });
  }
  const returnMs = slots.queue.reserveReturn(content) ?? 0;
  expect(returnMs).toBeGreaterThan(1_000);
  slots.add("early", { contentId: "refused" });
  slots.add("fresh");
  slots.release();
  expect(slots.started).toEqual(["fresh"]);
  slots.release();
  expect(slots.started).toEqual(["fresh", "early"]);
});

test("a queue of 400 searches for no path for an arrival that must wait", () => {
  const slots = new Slots();
  for (let i = 0; i < 400; i++) slots.add(`waits-${i}`);
  slots.searches = 0;
  for (let i = 0; i < 100; i++) slots.add(`more-${i}`);
  expect(slots.searches).toBe(0);
  slots.queue.dispatch();
  expect(slots.searches).toBe(7);
});

test("the slot of a refused caller is free again once its request has started", async () => {
  const slots = new Slots();
  await slots.startAt(5);
  const reserve = (contentId: string) =>
    slots.queue.reserveReturn({ rank: 1, contentId, receivedMs: 0 });
  expect(reserve("returned")).toBe(200);
  slots.free = 1;
  slots.add("again", { contentId: "returned" });
  expect(slots.started).toEqual(["again"]);
  expect(reserve("other")).toBe(200);
});

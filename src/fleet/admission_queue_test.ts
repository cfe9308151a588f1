import fc from "fast-check";
import { describe, expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { seededRandom } from "../common/random.ts";
import { AdmissionQueue, type QueueRequest } from "./admission_queue.ts";

const SEED = 11;
const HOLD_MS = 100;

interface Seen {
  readonly customer: string;
  readonly waitedMs: number;
  readonly isServed: boolean;
  readonly isLate: boolean;
  readonly retryAtWallMs?: number;
}

/** Sends a request, holds its place for a while and notes what came of it. */
async function send(
  queue: AdmissionQueue,
  clock: ManualClock,
  options: { request: QueueRequest; holdMs?: number; seen: Seen[] },
): Promise<void> {
  const { request, seen } = options;
  const startedMs = clock.nowMs();
  const outcome = await queue.admit(request);
  const common = {
    customer: request.customer,
    waitedMs: clock.nowMs() - startedMs,
    isLate: clock.nowMs() > request.deadlineMs,
  };
  if (outcome.isErr()) {
    const { retryAtWallMs } = outcome.error;
    seen.push({ ...common, isServed: false, retryAtWallMs });
    return;
  }
  seen.push({ ...common, isServed: true });
  await clock.sleep(options.holdMs ?? HOLD_MS);
  outcome.value.dispose();
}

function p95(values: readonly number[]): number {
  const sorted = [...values].sort((one, other) => one - other);
  return sorted[Math.ceil(sorted.length * 0.95) - 1];
}

test("a small customer waits little while a large one floods", async () => {
  const clock = new ManualClock();
  const random = seededRandom(SEED);
  const queue = new AdmissionQueue({
    maxRunning: () => 10,
    clock,
    maxQueued: 200,
    initialServiceTimeMs: HOLD_MS,
  });
  const seen: Seen[] = [];
  // A hundred requests a second are served; the large customer sends 300.
  for (let step = 0; step < 2_000; step += 1) {
    const customer = step % 50 === 0 ? "small" : "large";
    const isSent = customer === "small" || random() < 1.5;
    const count = customer === "small" ? 1 : isSent ? 3 : 0;
    for (let index = 0; index < count; index += 1) {
      const deadlineMs = clock.nowMs() + 5_000;
      const request = { customer, priority: 5, deadlineMs };
      void send(queue, clock, { request, seen });
    }
    await clock.advance(10);
  }
  const small = seen.filter((one) => one.customer === "small");
  expect(small.every((one) => one.isServed)).toBe(true);
  expect(p95(small.map((one) => one.waitedMs))).toBeLessThanOrEqual(HOLD_MS);
  const large = seen.filter((one) => one.customer === "large" && one.isServed);
  expect(large.length).toBeGreaterThan(1_700);
});

describe("refusals", () => {
  test("what cannot meet its deadline is refused at once, with a time", async () => {
    const clock = new ManualClock();
    const queue = new AdmissionQueue({
      maxRunning: () => 1,
      clock,
      initialServiceTimeMs: HOLD_MS,
    });
    const seen: Seen[] = [];
    const requests = [300, 300, 300, 150, 300].map((waitMs) => ({
      customer: "a",
      priority: 5,
      deadlineMs: clock.nowMs() + waitMs,
    }));
    for (const request of requests) void send(queue, clock, { request, seen });
    await clock.advance(0);
    const refused = seen.filter((one) => !one.isServed);
    expect(refused.map((one) => one.waitedMs)).toEqual([0]);
    expect(refused[0].retryAtWallMs).toBe(clock.wallMs() + 4 * HOLD_MS);
  });

  test("one whose deadline passes while it waits is answered then", async () => {
    const clock = new ManualClock();
    const queue = new AdmissionQueue({
      maxRunning: () => 1,
      clock,
      initialServiceTimeMs: HOLD_MS,
    });
    const seen: Seen[] = [];
    const make = (waitMs: number) => ({
      customer: "a",
      priority: 5,
      deadlineMs: clock.nowMs() + waitMs,
    });
    void send(queue, clock, { request: make(9_000), holdMs: 5_000, seen });
    void send(queue, clock, { request: make(1_000), seen });
    await clock.advance(1_000);
    expect(seen.map((one) => one.isServed)).toEqual([true, false]);
    expect(seen[1].waitedMs).toBe(1_000);
  });

  test("a full queue gives up the last of the longest line for another", async () => {
    const clock = new ManualClock();
    const options = { places: () => 1, clock, maxWaiting: 3, firstHoldMs: 1 };
    const queue = new AdmissionQueue(options);
    const seen: Seen[] = [];
    const deadlineMs = clock.nowMs() + 60_000;
    for (const customer of ["a", "a", "a", "a", "b", "a"]) {
      const request = { customer, priority: 5, deadlineMs };
      void send(queue, clock, { request, holdMs: 1_000, seen });
      await clock.advance(0);
    }
    const refused = seen.filter((one) => !one.isServed);
    expect(refused.map((one) => one.customer)).toEqual(["a", "a"]);
    expect(queue.queuedCount).toBe(3);
  });

  test("a hang-up leaves the queue at once", async () => {
    const clock = new ManualClock();
    const queue = new AdmissionQueue({
      maxRunning: () => 0,
      clock,
      initialServiceTimeMs: 1,
    });
    const abort = new AbortController();
    const deadlineMs = clock.nowMs() + 60_000;
    const { signal } = abort;
    const entered = queue.admit({
      customer: "a",
      priority: 5,
      deadlineMs,
      signal,
    });
    abort.abort();
    const outcome = await entered;
    expect(outcome.isErr() && outcome.error.code).toBe("cancelled");
    expect(queue.queuedCount).toBe(0);
  });
});

test("any traffic: bounds hold, nobody is served late, all are answered", async () => {
  const arrival = fc.record({
    customer: fc.constantFrom("a", "b", "c"),
    priority: fc.integer({ min: 0, max: 2 }),
    gapMs: fc.integer({ min: 0, max: 60 }),
    waitMs: fc.integer({ min: 1, max: 1_000 }),
    holdMs: fc.integer({ min: 1, max: 400 }),
  });
  const property = fc.asyncProperty(
    fc.array(arrival, { maxLength: 40 }),
    async (arrivals) => {
      const clock = new ManualClock();
      const options = { places: () => 2, clock, maxWaiting: 5 };
      const queue = new AdmissionQueue({
        ...options,
        initialServiceTimeMs: HOLD_MS,
      });
      const seen: Seen[] = [];
      for (const { gapMs, waitMs, holdMs, ...kind } of arrivals) {
        const deadlineMs = clock.nowMs() + waitMs;
        const request = { ...kind, deadlineMs };
        void send(queue, clock, { request, holdMs, seen });
        await clock.advance(gapMs);
        expect(queue.runningCount).toBeLessThanOrEqual(2);
        expect(queue.queuedCount).toBeLessThanOrEqual(5);
      }
      await clock.advance(20_000);
      expect(seen.length).toBe(arrivals.length);
      expect(seen.some((one) => one.isLate)).toBe(false);
      expect(queue.runningCount + queue.queuedCount).toBe(0);
    },
  );
  await fc.assert(property, { seed: SEED, numRuns: 60 });
});

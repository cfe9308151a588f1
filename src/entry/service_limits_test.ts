import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { ServiceLimits } from "./service_limits.ts";

const BOUNDS = {
  revokeMs: 5_000,
  drainMs: 2_000,
  graceMs: 8_000,
  retryRatio: 0.2,
  retryWindowMs: 10_000,
  retrySlack: 200,
  stallMs: 3_000,
};

test("changes that come at once make waiting requests search once a tick", () => {
  const clock = new ManualClock();
  const limits = new ServiceLimits({
    clock,
    settings: { bounds: BOUNDS, isFirstStart: true },
    knownHosts: () => 81,
  });
  let searches = 0;
  limits.queueOf("s").add({
    rank: 0,
    untilMs: clock.nowMs() + 1_200,
    tryStart: () => {
      searches++;
      return false;
    },
    refuse: () => {},
  });
  searches = 0;
  for (let i = 0; i < 50; i++) limits.scheduleDispatch();
  limits.tick();
  expect(searches).toBe(1);
  for (let i = 0; i < 8; i++) limits.tick();
  expect(searches).toBe(3);
});

test("a request whose wait expires is refused at the next tick", async () => {
  const clock = new ManualClock();
  const limits = new ServiceLimits({
    clock,
    settings: { bounds: BOUNDS, isFirstStart: true },
    knownHosts: () => 8,
  });
  let isRefused = false;
  limits.queueOf("s").add({
    rank: 0,
    untilMs: clock.nowMs() + 100,
    tryStart: () => false,
    refuse: () => isRefused = true,
  });
  await clock.advance(100);
  limits.tick();
  expect(isRefused).toBe(true);
});

test("the queue of a service asks the fleet's admission of that service", () => {
  const clock = new ManualClock();
  const offered: string[] = [];
  const limits = new ServiceLimits({
    clock,
    settings: { bounds: BOUNDS, isFirstStart: true },
    knownHosts: () => 8,
    admission: (service) => ({
      mayStart: (rank) => service === "open" || rank === 0,
      observer: { onOffered: (rank) => offered.push(`${service} ${rank}`) },
    }),
  });
  const started: string[] = [];
  for (const service of ["open", "held"]) {
    limits.queueOf(service).add({
      rank: 1,
      untilMs: clock.nowMs() + 1_200,
      tryStart: () => started.push(service) > 0,
      refuse: () => {},
    });
  }
  expect(started).toEqual(["open"]);
  expect(offered).toEqual(["open 1", "held 1"]);
});

test("a changed slack limits the retries of a service that is in use", () => {
  const limits = new ServiceLimits({
    clock: new ManualClock(),
    settings: { bounds: BOUNDS, isFirstStart: true },
    knownHosts: () => 8,
  });
  const budget = limits.budgetOf("s");
  expect(budget.tryAcquire()).toBe(true);
  limits.applyBounds({ ...BOUNDS, retrySlack: 0 });
  expect(budget.hasRetry()).toBe(false);
  limits.applyBounds(BOUNDS);
  expect(budget.hasRetry()).toBe(true);
});

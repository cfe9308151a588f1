import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { ServiceRetryBudget } from "./service_retry_budget.ts";

const HOSTS = 12;
const SLACK = 198;
const RATIO = 0.2;
const WINDOW_MS = 10_000;

function budgets(
  clock: ManualClock,
  slackFromMs?: number,
): ServiceRetryBudget[] {
  return Array.from({ length: HOSTS }, () =>
    new ServiceRetryBudget({
      clock,
      slackFromMs,
      windowMs: WINDOW_MS,
      ratio: RATIO,
      slack: SLACK,
      hostLimit: () => HOSTS,
    }));
}

test("hosts without communication stay within the limit of all together", async () => {
  const clock = new ManualClock();
  const hosts = budgets(clock);
  const requests: number[] = [];
  const retries: number[] = [];
  for (let step = 0; step < 400; step++) {
    // Requests stop in the middle, while retries continue.
    const isBusy = step < 120 || step > 280;
    for (const host of hosts) {
      if (isBusy) {
        host.recordRequest();
        requests.push(clock.nowMs());
      }
      while (host.tryAcquire()) retries.push(clock.nowMs());
    }
    await clock.advance(100);
    const endMs = clock.nowMs();
    const inWindow = (times: number[], windows: number): number =>
      times.filter((atMs) => atMs > endMs - WINDOW_MS * windows).length;
    const allowed = inWindow(requests, 2) * RATIO + SLACK;
    expect(inWindow(retries, 1)).toBeLessThanOrEqual(allowed);
  }
  expect(retries.length).toBeGreaterThan(SLACK);
});

test("an exhausted slack is available again after the window", async () => {
  const clock = new ManualClock();
  const [host] = budgets(clock);
  let taken = 0;
  while (host.tryAcquire()) taken++;
  expect(taken).toBe(Math.floor(SLACK / HOSTS));
  await clock.advance(WINDOW_MS);
  expect(host.tryAcquire()).toBe(true);
});

test("no span of the window's length has more retries than the limit, whenever in a slice they came", async () => {
  for (let offsetMs = 0; offsetMs < WINDOW_MS; offsetMs += 110) {
    const clock = new ManualClock();
    const [host] = budgets(clock);
    await clock.advance(offsetMs);
    while (host.tryAcquire());
    await clock.advance(WINDOW_MS - 1);
    expect(host.tryAcquire()).toBe(false);
  }
});

test("hosts that restart within a window stay within the limit of all together", async () => {
  const clock = new ManualClock();
  const retries: number[] = [];
  for (let restart = 0; restart < 4; restart++) {
    const slackFromMs = restart === 0 ? undefined : clock.nowMs() + WINDOW_MS;
    for (const host of budgets(clock, slackFromMs)) {
      while (host.tryAcquire()) retries.push(clock.nowMs());
    }
    await clock.advance(WINDOW_MS / 4);
  }
  expect(retries.length).toBeLessThanOrEqual(SLACK);
});

test("a host that restarted has its part of the slack after a window", async () => {
  const clock = new ManualClock();
  const [host] = budgets(clock, clock.nowMs() + WINDOW_MS);
  expect(host.tryAcquire()).toBe(false);
  await clock.advance(WINDOW_MS);
  expect(host.tryAcquire()).toBe(true);
});

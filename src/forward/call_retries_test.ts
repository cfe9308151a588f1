import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { ServiceRetryBudget } from "../admission/service_retry_budget.ts";
import { BucketMetrics } from "../common/bucket_metrics.ts";
import { CallRetries } from "./call_retries.ts";

const WINDOW_MS = 10_000;
const SERVICE = "drafting";

function callsWith(slack: number) {
  const clock = new ManualClock();
  const budget = new ServiceRetryBudget({
    clock,
    windowMs: WINDOW_MS,
    ratio: 0,
    slack,
    hostLimit: () => 1,
  });
  const context = { budgetOf: () => budget, metrics: new BucketMetrics() };
  const call = () => new CallRetries({ context, service: SERVICE });
  return { clock, call };
}

test("a retry that waited for a path counts in the window in which it is sent", async () => {
  const { clock, call } = callsWith(1);
  const waiting = call();
  expect(waiting.recordFailure({ wasSent: true })).toBe(true);
  await clock.advance(1_200);
  expect(waiting.tryBeginSend()).toBe(true);
  await clock.advance(WINDOW_MS - 1_200);
  expect(call().recordFailure({ wasSent: true })).toBe(false);
  await clock.advance(1_200);
  expect(call().recordFailure({ wasSent: true })).toBe(true);
});

test("of two retries that wait for the last one of the budget, one is sent", () => {
  const { call } = callsWith(1);
  const calls = [call(), call()];
  for (const one of calls) one.recordFailure({ wasSent: true });
  expect(calls.map((one) => one.tryBeginSend())).toEqual([true, false]);
});

test("a send that reached no target needs no further retry", () => {
  const { call } = callsWith(1);
  const one = call();
  expect(one.tryBeginSend()).toBe(true);
  one.recordFailure({ wasSent: true });
  expect(one.tryBeginSend()).toBe(true);
  expect(one.recordFailure({ wasSent: false })).toBe(true);
  expect(one.tryBeginSend()).toBe(true);
});

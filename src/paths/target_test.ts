import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import type { TargetReport } from "../ports/types.ts";
import { Target } from "./target.ts";

const REPORT: TargetReport = {
  bornMs: 0,
  orderSeq: 0,
  isBusy: false,
  kind: undefined,
  span: undefined,
  slowness: 1,
  active: 0,
  queued: 0,
  usedTokenLayers: 0,
  totalTokenLayers: 0,
  stalled: [],
};

async function suspectedTarget() {
  const clock = new ManualClock();
  const target = new Target({
    record: {
      id: "t",
      service: "s",
      address: "10.0.0.1:1",
      domain: "a",
      state: "ready",
      bornMs: 0,
      kind: undefined,
      span: undefined,
    },
    clock,
  });
  target.recordActivity(clock.nowMs());
  for (const host of ["h1", "h2"]) {
    target.addSuspicion(host, clock.nowMs() + 10_000);
  }
  await clock.advance(10);
  return { clock, target };
}

test("what a host saw before the others suspected a target does not vouch for it", async () => {
  const { target } = await suspectedTarget();
  expect(target.isResponsive).toBe(false);
  expect(target.isDoubted).toBe(true);
});

test("a report since then outweighs the suspicions of other hosts for a second", async () => {
  const { clock, target } = await suspectedTarget();
  target.applyReport(REPORT);
  expect(target.isResponsive).toBe(true);
  await clock.advance(900);
  expect(target.isResponsive).toBe(true);
  await clock.advance(200);
  expect(target.isResponsive).toBe(false);
});

test("the progress of a stream vouches for a target only briefly", async () => {
  const { clock, target } = await suspectedTarget();
  target.recordActivity(clock.nowMs());
  expect(target.isResponsive).toBe(true);
  await clock.advance(200);
  expect(target.isResponsive).toBe(false);
});

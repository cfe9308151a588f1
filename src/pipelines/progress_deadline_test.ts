import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { seededRandom } from "../common/random.ts";
import { ProgressDeadline } from "./progress_deadline.ts";

const CHAIN = [{ target: "a" }, { target: "b" }];

function learn(deadline: ProgressDeadline, meanMs: number, seed = 1): number {
  const random = seededRandom(seed);
  let lateCount = 0;
  for (let token = 0; token < 1_000; token++) {
    const gapMs = meanMs * (0.5 + random());
    if (gapMs > deadline.withinMs(CHAIN, "decode")) lateCount++;
    deadline.noteGap(CHAIN, { phase: "decode", gapMs });
  }
  return lateCount;
}

test.each([[10, 60], [30, 100], [200, 640]])(
  "gaps of %i ms on average make a deadline of at most %i ms",
  (meanMs, atMostMs) => {
    const deadline = new ProgressDeadline({ clock: new ManualClock() });
    expect(learn(deadline, meanMs)).toBe(0);
    const withinMs = deadline.withinMs(CHAIN, "decode");
    expect(withinMs).toBeLessThanOrEqual(atMostMs);
    expect(withinMs).toBeGreaterThan(meanMs * 1.5);
  },
);

test("stalls give a chain that became slow more time, and fade", async () => {
  const clock = new ManualClock();
  const deadline = new ProgressDeadline({ clock });
  learn(deadline, 20);
  const normalMs = deadline.withinMs(CHAIN, "decode");
  for (let stall = 0; stall < 5; stall++) deadline.noteStall("b");
  expect(deadline.withinMs(CHAIN, "decode")).toBeGreaterThan(5 * normalMs);
  await clock.advance(60_000);
  expect(deadline.withinMs(CHAIN, "decode")).toBe(normalMs);
});

test("a new chain starts from what its targets showed in others", () => {
  const deadline = new ProgressDeadline({ clock: new ManualClock() });
  learn(deadline, 20);
  const other = [{ target: "a" }, { target: "c" }];
  expect(deadline.withinMs(other, "decode")).toBeLessThan(100);
  const stranger = deadline.withinMs([{ target: "z" }], "decode");
  expect(stranger).toBeGreaterThan(deadline.withinMs(other, "decode"));
  expect(stranger).toBeLessThan(150);
  expect(deadline.withinMs(other, "prefill")).toBe(2_000);
});

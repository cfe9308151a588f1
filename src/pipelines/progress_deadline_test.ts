import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { seededRandom } from "../common/random.ts";
import { ProgressDeadline } from "./progress_deadline.ts";

const CHAIN = [{ target: "a" }, { target: "b" }];

function feedGaps(
  deadline: ProgressDeadline,
  meanMs: number,
  seed = 1,
): number {
  const random = seededRandom(seed);
  let lateCount = 0;
  for (let token = 0; token < 1_000; token++) {
    const gapMs = meanMs * (0.5 + random());
    if (gapMs > deadline.timeoutMs(CHAIN, "decode")) lateCount++;
    deadline.recordGap(CHAIN, { phase: "decode", gapMs });
  }
  return lateCount;
}

test.each([[10, 60], [30, 100], [200, 640]])(
  "gaps of %i ms on average make a deadline of at most %i ms",
  (meanMs, atMostMs) => {
    const deadline = new ProgressDeadline({ clock: new ManualClock() });
    expect(feedGaps(deadline, meanMs)).toBe(0);
    const timeoutMs = deadline.timeoutMs(CHAIN, "decode");
    expect(timeoutMs).toBeLessThanOrEqual(atMostMs);
    expect(timeoutMs).toBeGreaterThan(meanMs * 1.5);
  },
);

test("stalls give a chain that became slow more time, and fade", async () => {
  const clock = new ManualClock();
  const deadline = new ProgressDeadline({ clock });
  feedGaps(deadline, 20);
  const normalMs = deadline.timeoutMs(CHAIN, "decode");
  for (let stall = 0; stall < 5; stall++) deadline.recordStall("b");
  expect(deadline.timeoutMs(CHAIN, "decode")).toBeGreaterThan(5 * normalMs);
  await clock.advance(60_000);
  expect(deadline.timeoutMs(CHAIN, "decode")).toBe(normalMs);
});

test("a new chain starts from what its targets showed in others", () => {
  const deadline = new ProgressDeadline({ clock: new ManualClock() });
  feedGaps(deadline, 20);
  const other = [{ target: "a" }, { target: "c" }];
  expect(deadline.timeoutMs(other, "decode")).toBeLessThan(100);
  const unknownMs = deadline.timeoutMs([{ target: "z" }], "decode");
  expect(unknownMs).toBeGreaterThan(deadline.timeoutMs(other, "decode"));
  expect(unknownMs).toBeLessThan(150);
  expect(deadline.timeoutMs(other, "prefill")).toBe(2_000);
});

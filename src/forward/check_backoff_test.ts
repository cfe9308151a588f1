import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { CheckBackoff } from "./check_backoff.ts";
import { EventPace } from "./event_pace.ts";

/** Checks in the last of `seconds`, with a late event each 50 ms that no fault explains. */
async function checksUnderLoad(seconds: number): Promise<number> {
  const clock = new ManualClock();
  const backoff = new CheckBackoff({ clock });
  const lateGapsMs = [100, 130, 170, 220];
  let checks = 0;
  for (let i = 0; i < seconds * 20; i++) {
    await clock.advance(50);
    const pace = new EventPace({ startMs: 0 });
    pace.recordEvent(0);
    const gapMs = lateGapsMs[i % lateGapsMs.length];
    if (gapMs < pace.overdueMs(false, backoff.factor)) continue;
    backoff.recordCheck(false);
    if (i >= (seconds - 1) * 20) checks++;
  }
  return checks;
}

test("under load that delays events, most paths are no longer checked", async () => {
  expect(await checksUnderLoad(1)).toBeGreaterThanOrEqual(3);
  expect(await checksUnderLoad(10)).toBeLessThanOrEqual(2);
});

test("a check that finds a fault makes the next ones earlier, and calm does", async () => {
  const clock = new ManualClock();
  const backoff = new CheckBackoff({ clock });
  for (let i = 0; i < 20; i++) backoff.recordCheck(false);
  expect(backoff.factor).toBe(4);
  backoff.recordCheck(true);
  expect(backoff.factor).toBe(2.5);
  await clock.advance(60_000);
  expect(backoff.factor).toBeLessThan(1.05);
});

test("a suspect stage is checked as soon as ever", () => {
  const pace = new EventPace({ startMs: 0 });
  pace.recordEvent(0);
  expect(pace.overdueMs(true, 4)).toBe(pace.overdueMs(true, 1));
});

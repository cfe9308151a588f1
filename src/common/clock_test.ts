import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { systemClock } from "./clock.ts";

const FORTY_DAYS_MS = 40 * 24 * 3_600_000;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

test.each([FORTY_DAYS_MS, Infinity])(
  "sleep of %d ms does not resolve immediately",
  async (waitMs) => {
    let ended = false;
    const abort = new AbortController();
    const wait = systemClock.sleep(waitMs, abort.signal).then(() =>
      ended = true
    );
    await vi.advanceTimersByTimeAsync(30 * 24 * 3_600_000);
    expect(ended).toBe(false);
    abort.abort();
    await wait;
  },
);

test("sleep longer than the largest setTimeout delay resolves on time", async () => {
  let ended = false;
  void systemClock.sleep(FORTY_DAYS_MS).then(() => ended = true);
  await vi.advanceTimersByTimeAsync(FORTY_DAYS_MS - 1);
  expect(ended).toBe(false);
  await vi.advanceTimersByTimeAsync(1);
  expect(ended).toBe(true);
});

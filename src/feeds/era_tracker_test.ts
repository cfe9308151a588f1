import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import type { ILog } from "../common/logging.ts";
import { silentLog } from "../common/logging.ts";
import { EraTracker } from "./era_tracker.ts";

function tracker() {
  const clock = new ManualClock();
  const lines: string[] = [];
  const log = { ...silentLog, info: (line: string) => lines.push(line) } as
    & ILog
    & typeof silentLog;
  const eras = new EraTracker({ clock, log });
  const advances: number[] = [];
  eras.onAdvance(({ to }) => advances.push(to));
  return { clock, eras, lines, advances };
}

test("a missing era and a lower one tell nothing new, and are logged once", () => {
  const { eras, lines, advances } = tracker();
  eras.observe(undefined, "store");
  expect(eras.isSettled).toBe(true);
  for (const era of [4, 4, undefined, 3, 2, 4, 1]) eras.observe(era, "store");
  expect(eras.current).toBe(4);
  expect(advances).toEqual([4]);
  expect(lines).toEqual(["lower era of the store ignored"]);
});

test("a new era is settled after two seconds, each one anew", async () => {
  const { eras, clock } = tracker();
  for (const era of [1, 2]) {
    eras.observe(era, "store");
    expect(eras.isSettled).toBe(false);
    await clock.advance(1_999);
    expect(eras.isSettled).toBe(false);
    await clock.advance(1);
    expect(eras.isSettled).toBe(true);
  }
});

test("the word of another host settles its own era only", () => {
  const { eras } = tracker();
  eras.observe(2, "store");
  eras.observeSettled(1, "host-1");
  expect(eras.isSettled).toBe(false);
  eras.observeSettled(2, "host-1");
  expect(eras.isSettled).toBe(true);
  eras.observe(3, "store");
  expect(eras.isSettled).toBe(false);
});

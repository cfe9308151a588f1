import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { DecayedQuantile } from "./decayed_quantile.ts";

function quantileOf(clock: ManualClock, durationsMs: readonly number[]) {
  const quantile = new DecayedQuantile({ clock });
  for (const durationMs of durationsMs) quantile.record(durationMs);
  return quantile;
}

test("a quantile is no less than its duration and at most a tenth more", () => {
  const clock = new ManualClock();
  for (const durationMs of [0.2, 1, 7, 130, 2_500, 90_000]) {
    const at = quantileOf(clock, [durationMs]).at(0.99) ?? 0;
    expect(at).toBeGreaterThanOrEqual(durationMs * 0.999);
    expect(at).toBeLessThanOrEqual(Math.max(1, durationMs * 1.101));
  }
});

test("one long request in twenty shows in a high quantile only", () => {
  const durationsMs = [...Array(19).fill(100), 4_000];
  const quantile = quantileOf(new ManualClock(), durationsMs);
  expect(quantile.at(0.9)).toBeLessThan(111);
  expect(quantile.at(0.99)).toBeGreaterThan(3_999);
});

test("durations of some minutes ago do not outweigh recent ones", async () => {
  const clock = new ManualClock();
  const quantile = quantileOf(clock, Array(1_000).fill(5_000));
  await clock.advance(300_000);
  for (let i = 0; i < 50; i++) quantile.record(100);
  expect(quantile.at(0.9)).toBeLessThan(111);
});

test("a host that runs for a day keeps its last durations", async () => {
  const clock = new ManualClock();
  const quantile = quantileOf(clock, [5_000]);
  await clock.advance(86_400_000);
  expect(quantile.at(0.99)).toBeGreaterThan(4_999);
  quantile.record(100);
  expect(quantile.at(0.99)).toBeLessThan(111);
});

test("without durations, nothing is known", () => {
  expect(quantileOf(new ManualClock(), []).at(0.99)).toBeUndefined();
});

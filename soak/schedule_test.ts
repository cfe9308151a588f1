import { expect, test } from "vitest";
import { drawSchedule } from "./schedule.ts";

const OPTIONS = {
  seed: 5,
  faultPhaseMs: 60_000,
  hosts: 4,
  servers: 15,
  plainServers: 3,
};

test("a seed gives the same schedule each time, another seed another one", () => {
  expect(drawSchedule(OPTIONS)).toEqual(drawSchedule(OPTIONS));
  expect(drawSchedule({ ...OPTIONS, seed: 6 })).not.toEqual(
    drawSchedule(OPTIONS),
  );
});

test("troubles overlap, are over in time and hit what exists", () => {
  const faults = drawSchedule(OPTIONS);
  expect(faults.length).toBeGreaterThan(60);
  for (const { kind, startMs, endMs, index } of faults) {
    expect(endMs).toBeGreaterThanOrEqual(startMs);
    expect(endMs).toBeLessThanOrEqual(OPTIONS.faultPhaseMs);
    expect(index).toBeLessThan(kind.startsWith("host-") ? 4 : 15);
  }
  const overlapping = faults.filter(({ startMs }, index) =>
    faults.slice(0, index).some(({ endMs }) => endMs > startMs)
  );
  expect(overlapping.length).toBeGreaterThan(faults.length / 2);
});

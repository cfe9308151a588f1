import { expect, test } from "vitest";
import { drawSchedule } from "./schedule.ts";

const OPTIONS = {
  seed: 5,
  faultPhaseMs: 60_000,
  hosts: 4,
  servers: 15,
  plainServers: 3,
};

test("the same seed gives the same schedule and another seed a different one", () => {
  expect(drawSchedule(OPTIONS)).toEqual(drawSchedule(OPTIONS));
  expect(drawSchedule({ ...OPTIONS, seed: 6 })).not.toEqual(
    drawSchedule(OPTIONS),
  );
});

test("faults overlap, end within the fault phase and have a valid index", () => {
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

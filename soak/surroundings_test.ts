import { expect, test } from "vitest";
import { ODD_RECORDS } from "./odd_records.ts";
import {
  describeSurrounding,
  drawSurroundings,
  SURROUNDINGS,
} from "./surroundings.ts";

const FAULT_PHASE_MS = 10_000;
const drawn = (seed: number) =>
  drawSurroundings({ seed, faultPhaseMs: FAULT_PHASE_MS, hosts: 4 });

test("the same seed gives the same surroundings and another seed different ones", () => {
  expect(drawn(5)).toEqual(drawn(5));
  expect(drawn(6)).not.toEqual(drawn(5));
});

test("fifty seeds draw every kind, all odd records' topics and each host", () => {
  const all = Array.from({ length: 50 }, (_, seed) => drawn(seed)).flat();
  expect(new Set(all.map(({ kind }) => kind))).toEqual(new Set(SURROUNDINGS));
  expect(new Set(all.map(({ host }) => host)).size).toBe(4);
  const records = all.filter(({ kind }) => kind === "odd-records")
    .flatMap((one) => one.records.map((index) => ODD_RECORDS[index]));
  expect(new Set(records.map(({ topic }) => topic)).size).toBe(3);
  for (const one of all) {
    expect(one.startMs).toBeLessThan(FAULT_PHASE_MS);
    expect(describeSurrounding(one)).toContain(one.kind);
  }
});

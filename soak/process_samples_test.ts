import { constants } from "node:os";
import process from "node:process";
import { expect, test } from "vitest";
import { checkSamples, handlesSignal, readSample } from "./process_samples.ts";
import { BOUNDS } from "./settings.ts";
import type { HostLife, ProcessSample } from "./types.ts";

const RESTS = [
  { startMs: 1_000, endMs: 3_000 },
  { startMs: 20_000, endMs: 22_000 },
];

/** A process that uses a share of a core all the while. */
function life(
  cores: number,
  at: (atMs: number) => Partial<ProcessSample> = () => ({}),
): HostLife {
  const samples: ProcessSample[] = [];
  for (let atMs = 500; atMs < 23_000; atMs += 250) {
    samples.push({
      atMs,
      processorMs: atMs * cores,
      residentBytes: 80e6,
      descriptors: 40,
      ...at(atMs),
    });
  }
  return {
    host: "host-0",
    startMs: 0,
    signals: [],
    readyMs: 400,
    end: undefined,
    samples,
  };
}

const violations = (one: HostLife): string[] =>
  checkSamples({ lives: [one], rests: RESTS }, BOUNDS);

test("a host that rests and gives back what it took violates nothing", () => {
  const isBusy = (atMs: number) => atMs > 3_000 && atMs < 20_000;
  expect(
    violations(life(0.04, (atMs) => isBusy(atMs) ? { descriptors: 900 } : {})),
  ).toEqual([]);
});

test.each<[string, HostLife, string]>([
  ["a core used while no caller sends", life(0.95), "0.95 cores"],
  [
    "a core used from the middle of the run on",
    life(0, (atMs) => ({ processorMs: Math.max(0, atMs - 10_000) })),
    "1.00 cores",
  ],
  [
    "memory over the limit for a moment",
    life(0.04, (atMs) => atMs === 10_000 ? { residentBytes: 360e6 } : {}),
    "360 MB",
  ],
  [
    "descriptors that stay open",
    life(0.04, (atMs) => ({ descriptors: atMs < 5_000 ? 40 : 90 })),
    "90 descriptors after the callers had left, 40 before",
  ],
])("%s is a violation", (_name, one, expected) => {
  expect(violations(one).join()).toContain(expected);
});

test("a sample of a process grows with its work, and there is none after its end", () => {
  const before = readSample(process.pid);
  const endMs = performance.now() + 200;
  while (performance.now() < endMs);
  const after = readSample(process.pid);
  expect(after?.processorMs).toBeGreaterThan(before?.processorMs ?? Infinity);
  expect(after?.residentBytes).toBeGreaterThan(10e6);
  expect(after?.descriptors).toBeGreaterThan(3);
  expect(readSample(2 ** 22 + 1)).toBeUndefined();
});

test("a handler of a signal is seen once it is installed", () => {
  const { pid } = process;
  const { SIGUSR2 } = constants.signals;
  const handler = () => {};
  expect(handlesSignal(pid, SIGUSR2)).toBe(false);
  process.on("SIGUSR2", handler);
  expect(handlesSignal(pid, SIGUSR2)).toBe(true);
  process.off("SIGUSR2", handler);
});

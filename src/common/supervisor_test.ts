import process from "node:process";
import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { Supervisor } from "./supervisor.ts";

test("restarts a failed task with increasing back-off without affecting its sibling", async () => {
  const clock = new ManualClock();
  const supervisor = new Supervisor({ name: "root", clock, random: () => 0.5 });
  const backOffs: number[] = [];
  let siblingTicks = 0;
  supervisor.onFailure((failure) => backOffs.push(failure.backOffMs));
  supervisor.child("pool").start(
    "failing",
    () => Promise.reject(new Error("no")),
  );
  supervisor.start("sibling", async (signal) => {
    while (!signal.aborted) {
      siblingTicks++;
      await clock.sleep(100, signal);
    }
  });
  await clock.advance(1_000);
  expect(backOffs.slice(0, 4)).toEqual([50, 100, 200, 400]);
  expect(siblingTicks).toBe(11);
  await clock.runUntil(supervisor.stop());
  const failures = backOffs.length;
  await clock.advance(60_000);
  expect(backOffs.length).toBe(failures);
});

test("a task is restarted although a listener of its failures throws", async () => {
  const clock = new ManualClock();
  const supervisor = new Supervisor({ name: "root", clock, random: () => 0.5 });
  const listeners = process.listeners("unhandledRejection");
  const unhandled: unknown[] = [];
  process.removeAllListeners("unhandledRejection");
  process.on("unhandledRejection", (error) => unhandled.push(error));
  supervisor.onFailure(() => {
    throw new Error("a listener");
  });
  let runs = 0;
  supervisor.start("failing", () => {
    runs++;
    return Promise.reject(new Error("no"));
  });
  await clock.advance(1_000);
  await clock.runUntil(supervisor.stop());
  process.removeAllListeners("unhandledRejection");
  for (const listener of listeners) {
    process.on("unhandledRejection", listener);
  }
  expect(runs).toBeGreaterThan(3);
  expect(unhandled.map(String)).toContain("Error: a listener");
});

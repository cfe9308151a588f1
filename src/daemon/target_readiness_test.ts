import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import type { EngineState } from "../clients/types.ts";
import { TargetReadiness } from "./target_readiness.ts";

test("a host is ready once each engine has answered or failed to, and stays so", () => {
  const used = new Set<string>();
  const published = new Set<string>();
  const unresponsive = new Set<string>();
  const clock = new ManualClock();
  const readiness = new TargetReadiness({
    clock,
    subset: { all: () => used },
    directory: {
      lastState: (target) =>
        published.has(target) ? {} as EngineState : undefined,
      unresponsiveForMs: (target) => unresponsive.has(target) ? 1 : 0,
    },
  });
  expect(readiness.isReady).toBe(true);
  used.add("etapa-a").add("etapa-b");
  expect(readiness.isReady).toBe(false);
  published.add("etapa-a");
  expect(readiness.isReady).toBe(false);
  unresponsive.add("etapa-b");
  expect(readiness.isReady).toBe(true);
  used.add("etapa-c");
  expect(readiness.isReady).toBe(true);
});

test("an engine that never answers holds a host back for two seconds only", async () => {
  const clock = new ManualClock();
  const readiness = new TargetReadiness({
    clock,
    subset: { all: () => new Set(["etapa-a"]) },
    directory: { lastState: () => undefined, unresponsiveForMs: () => 0 },
  });
  expect(readiness.isReady).toBe(false);
  await clock.advance(1_999);
  expect(readiness.isReady).toBe(false);
  await clock.advance(1);
  expect(readiness.isReady).toBe(true);
});

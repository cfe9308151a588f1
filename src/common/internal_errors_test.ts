import { EventEmitter } from "node:events";
import { expect, test } from "vitest";
import { BucketMetrics } from "./bucket_metrics.ts";
import { ManualClock } from "../../test/manual_clock.ts";
import { handleInternalErrors } from "./internal_errors.ts";
import { silentLog } from "./logging.ts";

test("an error that no code handled is counted and does not end the process", () => {
  const source = new EventEmitter();
  const metrics = new BucketMetrics();
  const reasons: unknown[] = [];
  const log = {
    ...silentLog,
    error: (_message: string, fields?: { reason?: unknown }) =>
      reasons.push(fields?.reason),
  };
  handleInternalErrors({
    source,
    metrics,
    log: log as typeof silentLog,
    end: expect.unreachable,
  });
  source.emit("uncaughtException", new Error("from a listener"));
  source.emit("unhandledRejection", "from a promise");
  expect(reasons.map(String).join()).toMatch(
    /from a listener.*from a promise/s,
  );
  expect(metrics.render()).toContain(
    'jackdawshift_internal_errors_total{event="uncaughtException"} 1',
  );
});

function start() {
  const source = new EventEmitter();
  const clock = new ManualClock();
  const metrics = new BucketMetrics();
  const lines: { suppressed?: number }[] = [];
  const error = (_message: string, fields = {}) => void lines.push(fields);
  const log = { ...silentLog, error };
  let ends = 0;
  const end = () => void ends++;
  handleInternalErrors({ source, clock, metrics, log, end });
  return { source, clock, metrics, lines, ends: () => ends };
}

test("many errors are counted, and logged at a bounded rate with what was left out", async () => {
  const { source, clock, metrics, lines } = start();
  for (let i = 0; i < 100; i++) {
    source.emit("unhandledRejection", new Error("again"));
  }
  expect(lines).toHaveLength(5);
  await clock.advance(10_000);
  source.emit("unhandledRejection", new Error("again"));
  expect(lines).toHaveLength(6);
  expect(lines[5].suppressed).toBe(95);
  expect(metrics.render()).toContain(
    'jackdawshift_internal_errors_total{event="unhandledRejection"} 101',
  );
});

test("errors in each turn do not end a process whose promises go on", async () => {
  const { source, clock, ends } = start();
  for (let i = 0; i < 20_000; i++) {
    source.emit("uncaughtException", new Error("each turn"));
    await clock.advance(1);
  }
  expect(ends()).toBe(0);
});

test("an error that cannot be described does not throw in its handler", () => {
  const { source, lines } = start();
  source.emit("uncaughtException", Object.create(null));
  expect(lines).toHaveLength(1);
});

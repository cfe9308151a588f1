import { EventEmitter } from "node:events";
import { expect, test } from "vitest";
import { BucketMetrics } from "./bucket_metrics.ts";
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
  handleInternalErrors({ source, metrics, log: log as typeof silentLog });
  source.emit("uncaughtException", new Error("from a listener"));
  source.emit("unhandledRejection", "from a promise");
  expect(reasons.map(String).join()).toMatch(
    /from a listener.*from a promise/s,
  );
  expect(metrics.render()).toContain(
    'jackdawshift_internal_errors_total{event="uncaughtException"} 1',
  );
});

import { expect, test } from "vitest";
import { Metrics } from "./metrics.ts";

test("renders metrics in the Prometheus text format", () => {
  const metrics = new Metrics();
  metrics.count("requests_total", { verdict: "complete" });
  metrics.count("requests_total", { verdict: "complete" });
  metrics.gauge("streams_open", () => 3);
  for (let value = 1; value <= 100; value++) metrics.record("wait_ms", value);
  const text = metrics.render();
  expect(text).toContain('requests_total{verdict="complete"} 2\n');
  expect(text).toContain("streams_open 3\n");
  expect(text).toContain('wait_ms{quantile="0.95"} 95\n');
  expect(text).toContain("wait_ms_count 100\n");
});

import { expect, test } from "vitest";
import { createLog } from "./logging.ts";

test("writes one JSON object per line, filters by level and masks secrets", () => {
  const lines: string[] = [];
  const log = createLog({
    host: "host-1",
    level: "info",
    write: (line) => lines.push(line),
  });
  log.debug("hidden");
  log.info("started", {
    requestId: "r-1",
    peerSecret: "s3cr3t",
    nested: { token: "abc" },
  });
  expect(lines).toHaveLength(1);
  const line = JSON.parse(lines[0]);
  expect(line).toMatchObject({
    host: "host-1",
    level: "info",
    message: "started",
    requestId: "r-1",
  });
  expect(lines[0]).not.toContain("s3cr3t");
  expect(lines[0]).not.toContain("abc");
});

test("a field does not overwrite a reserved member of the line", () => {
  const lines: string[] = [];
  const log = createLog({
    host: "host-1",
    level: "info",
    write: (line) => lines.push(line),
  });
  log.warn("log service did not respond", {
    message: "refused",
    host: "other",
  });
  expect(JSON.parse(lines[0])).toMatchObject({
    message: "log service did not respond",
    message_: "refused",
    host: "host-1",
  });
});

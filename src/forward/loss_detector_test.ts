import { createServer, type Server } from "node:net";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { silentLog } from "../common/logging.ts";
import { TargetTable } from "../paths/target_table.ts";
import type { TargetRecord } from "../ports/types.ts";
import { LossDetector } from "./loss_detector.ts";

let server: Server;
let record: TargetRecord;
let clock: ManualClock;
let targets: TargetTable;
let detector: LossDetector;
let checks: number;

beforeEach(async () => {
  server = createServer((socket) => socket.destroy());
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  record = {
    id: "t",
    service: "s",
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    domain: "a",
    state: "ready",
    bornMs: 1_000,
    kind: undefined,
    span: undefined,
  };
  clock = new ManualClock();
  targets = new TargetTable({ clock, log: silentLog });
  targets.put(record);
  checks = 0;
  detector = new LossDetector({
    clock,
    targets,
    metrics: { count: () => checks++ },
    confirmCutOff: () => Promise.resolve(false),
  });
});

afterEach(() => {
  server.close();
});

function observe() {
  const { address, bornMs } = record;
  return detector.observe({ targetId: "t", address, bornMs }, {
    checksPort: true,
  });
}

test("a port that closes only after the first check is found closed", async () => {
  const { firstCheck, evidence } = observe();
  expect(await firstCheck).toBe("accepts");
  await new Promise((resolve) => server.close(resolve));
  await clock.advance(60);
  expect(await evidence).toBe("port-refuses");
});

test.each<[string, string, () => void]>([
  [
    "restarted under its id",
    "restarted",
    () => targets.put({ ...record, bornMs: 2_000 }),
  ],
  [
    "replaced at its address",
    "address-reused",
    () => targets.put({ ...record, id: "u", service: "other", bornMs: 2_000 }),
  ],
  ["gone from the store", "deregistered", () => targets.remove("t", true)],
  [
    "answered for by another",
    "address-reused",
    () => detector.recordReplaced({ targetId: "t", bornMs: 1_000 }),
  ],
])("a target that is %s has ended", async (_how, found, change) => {
  const { firstCheck, evidence } = observe();
  await firstCheck;
  change();
  expect(await evidence).toBe(found);
  // Known when the next observation begins.
  if (found !== "address-reused") expect(await observe().evidence).toBe(found);
});

test.each<[string, () => void]>([
  ["left as planned", () => {
    targets.put({ ...record, state: "draining" });
    targets.remove("t", true);
  }],
  [
    "got an older neighbour's record",
    () => targets.put({ ...record, id: "u", bornMs: 500 }),
  ],
  [
    "changed its span",
    () => targets.put({ ...record, span: { from: 0, to: 4 } }),
  ],
])("a target that %s has not ended", async (_how, change) => {
  const { firstCheck, evidence } = observe();
  await firstCheck;
  change();
  await clock.advance(6_000);
  expect(await evidence).toBe(undefined);
});

test("sends that failed at the same ended process share the refusal of its port", async () => {
  await new Promise((resolve) => server.close(resolve));
  for (let i = 0; i < 10; i++) {
    const { firstCheck, evidence } = observe();
    expect(await firstCheck).toBe("refuses");
    expect(await evidence).toBe("port-refuses");
    await clock.advance(20);
  }
  expect(checks).toBe(1);
  await clock.advance(300);
  expect(await observe().evidence).toBe("port-refuses");
  expect(checks).toBe(2);
});

test("the refusal of a port says nothing of a later process", async () => {
  await new Promise((resolve) => server.close(resolve));
  expect(await observe().evidence).toBe("port-refuses");
  record = { ...record, bornMs: 2_000 };
  expect(await observe().firstCheck).toBe("refuses");
  expect(checks).toBe(2);
});

test("sends that failed at the same moment share one check", async () => {
  const firstChecks = Array.from({ length: 10 }, () => observe().firstCheck);
  expect(new Set(await Promise.all(firstChecks))).toEqual(new Set(["accepts"]));
  expect(checks).toBe(1);
});

test("a port that accepted a moment ago is checked for the next send", async () => {
  expect(await observe().firstCheck).toBe("accepts");
  await new Promise((resolve) => server.close(resolve));
  expect(await observe().firstCheck).toBe("refuses");
  expect(checks).toBe(2);
});

test("failed sends are not held for as long as their target goes on failing", async () => {
  const endedMs: (number | undefined)[] = [];
  const found: (string | undefined)[] = [];
  const startMs = clock.nowMs();
  for (let i = 0; i < 10; i++) {
    void observe().evidence.then((evidence) => {
      found[i] = evidence;
      endedMs[i] = clock.nowMs() - startMs;
    });
    await clock.advance(1_000);
  }
  expect(endedMs).toEqual([6_000, 7_000, 8_000, 9_000, 10_000]);
  targets.put({ ...record, bornMs: 2_000 });
  await clock.advance(1);
  expect(found).toEqual([
    ...Array(5).fill(undefined),
    ...Array(5).fill("restarted"),
  ]);
});

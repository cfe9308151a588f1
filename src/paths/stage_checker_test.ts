import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { soundLink } from "../../test/reachability.ts";
import { silentLog } from "../common/logging.ts";
import type { ITargetControl } from "../ports/services.ts";
import type { TargetRecord, TargetReport } from "../ports/types.ts";
import { StageChecker } from "./stage_checker.ts";
import { TargetTable } from "./target_table.ts";

const RECORD: TargetRecord = {
  id: "t",
  service: "s",
  address: "10.0.0.1:80",
  domain: "a",
  state: "ready",
  bornMs: 0,
  kind: undefined,
  span: { from: 0, to: 4 },
};
const REPORT: TargetReport = {
  bornMs: 0,
  orderSeq: 1,
  isBusy: false,
  kind: undefined,
  span: RECORD.span,
  slowness: 1,
  active: 0,
  queued: 0,
  usedTokenLayers: 0,
  totalTokenLayers: 1,
  stalled: [],
};
const STAGE = { targetId: "t", address: RECORD.address, from: 0, to: 4 };

const OTHER = { ...RECORD, id: "other", address: "10.0.0.2:80" };
const OTHER_STAGE = { ...STAGE, targetId: "other", address: OTHER.address };

/**
 * A checker whose n-th request to target t is answered after the n-th delay, or
 * times out if that is undefined; requests to the other target are answered
 * after `otherAfterMs`.
 */
function checkerWith(
  answersAfterMs: (number | undefined)[],
  otherAfterMs: () => number | undefined = () => 1,
) {
  const clock = new ManualClock();
  let requests = 0;
  const control: Pick<ITargetControl, "report"> = {
    async report({ id }, timeoutMs) {
      const afterMs = id === "t" ? answersAfterMs[requests++] : otherAfterMs();
      if (afterMs === undefined || afterMs > timeoutMs) {
        await clock.sleep(timeoutMs);
        return undefined;
      }
      await clock.sleep(afterMs);
      return REPORT;
    },
  };
  const targetTable = new TargetTable({ clock, log: silentLog });
  targetTable.put(RECORD);
  targetTable.put(OTHER);
  const checker = new StageChecker({
    targetTable,
    control: control as ITargetControl,
    clock,
    reachability: soundLink(targetTable),
    readArrived: () => Promise.resolve(),
  });
  const check = (
    checked: Parameters<StageChecker["check"]>[0],
    stalledSinceMs?: number,
  ) => clock.runUntil(checker.check(checked, stalledSinceMs));
  return { targetTable, clock, check, requests: () => requests };
}

test("concurrent and closely following checks of a target share one request", async () => {
  const { targetTable, check, requests } = checkerWith([2]);
  await Promise.all([check([STAGE]), check([STAGE])]);
  expect(requests()).toBe(1);
  expect(targetTable.get("t")?.noResponseSinceMs).toBeUndefined();
  await check([STAGE]);
  expect(requests()).toBe(1);
});

test("a target over which another stream made progress since the stall is not asked", async () => {
  const { clock, targetTable, check, requests } = checkerWith([2]);
  const nowMs = clock.nowMs();
  targetTable.get("t")?.recordActivity(nowMs - 5);
  await check([STAGE], nowMs - 50);
  expect(requests()).toBe(0);
  await check([STAGE], nowMs);
  expect(requests()).toBe(1);
});

test("a second request makes up for a lost answer", async () => {
  const { targetTable, check } = checkerWith([undefined, 2]);
  await check([STAGE]);
  expect(targetTable.get("t")?.noResponseSinceMs).toBeUndefined();
});

test("a target that answers neither request is unresponsive", async () => {
  const { targetTable, check } = checkerWith([undefined, undefined]);
  const changed: string[] = [];
  targetTable.onChange(({ id }) => changed.push(id));
  await check([STAGE, OTHER_STAGE]);
  expect(targetTable.get("t")?.noResponseSinceMs).toBeDefined();
  expect(changed).toEqual(["t"]);
});

test("a target is not marked as unresponsive while no other target answers", async () => {
  let isLinkFull = false;
  const { clock, targetTable, check } = checkerWith(
    [],
    () => isLinkFull ? undefined : 1,
  );
  await check([OTHER_STAGE]);
  isLinkFull = true;
  await clock.advance(120);
  await check([STAGE, OTHER_STAGE]);
  expect(
    targetTable.all().every(({ noResponseSinceMs }) =>
      noResponseSinceMs === undefined
    ),
  )
    .toBe(true);
});

test("the last target to answer is probed as a reference if only one target is checked", async () => {
  const { clock, targetTable, check } = checkerWith([]);
  await check([OTHER_STAGE]);
  await clock.advance(120);
  await check([STAGE]);
  expect(targetTable.get("t")?.noResponseSinceMs).toBeDefined();
  expect(targetTable.get("other")?.noResponseSinceMs).toBeUndefined();
});

test("slow answers extend the probe timeout", async () => {
  const { targetTable, check } = checkerWith([90, 90, 90, 90], () => 60);
  await check([OTHER_STAGE]);
  await check([STAGE, OTHER_STAGE]);
  expect(targetTable.get("t")?.noResponseSinceMs).toBeUndefined();
});

test("a late answer marks the target as responsive again", async () => {
  const { clock, targetTable, check } = checkerWith([200, undefined]);
  await check([STAGE, OTHER_STAGE]);
  expect(targetTable.get("t")?.noResponseSinceMs).toBeDefined();
  await clock.advance(200);
  expect(targetTable.get("t")?.noResponseSinceMs).toBeUndefined();
});

/** Targets of two failure domains; those in `dead` never answer. */
function checkerOfDomains() {
  const clock = new ManualClock();
  const dead = new Set<string>();
  const requests: string[] = [];
  const control: Pick<ITargetControl, "report"> = {
    async report({ id }, timeoutMs) {
      requests.push(id);
      await clock.sleep(dead.has(id) ? timeoutMs : 1);
      return dead.has(id) ? undefined : REPORT;
    },
  };
  const targetTable = new TargetTable({ clock, log: silentLog });
  const stageOf = (id: string, domain: string) => {
    const address = `10.0.1.${targetTable.all().length + 1}:80`;
    targetTable.put({ ...RECORD, id, domain, address });
    return { ...STAGE, targetId: id, address };
  };
  const stages = {
    near: stageOf("near", "a"),
    near2: stageOf("near2", "a"),
    far: stageOf("far", "b"),
  };
  const checker = new StageChecker({
    targetTable,
    control: control as ITargetControl,
    clock,
    reachability: soundLink(targetTable),
    readArrived: () => Promise.resolve(),
  });
  const check = (
    checked: Parameters<StageChecker["check"]>[0],
    stalledSinceMs?: number,
  ) => clock.runUntil(checker.check(checked, stalledSinceMs));
  return { targetTable, clock, check, dead, requests, stages };
}

test("a target of another failure domain is the preferred reference", async () => {
  const { clock, targetTable, check, dead, requests, stages } =
    checkerOfDomains();
  await check([stages.far]);
  await clock.advance(30);
  // Answered last, but is lost together with the checked target.
  await check([stages.near2]);
  await clock.advance(120);
  for (const id of ["near", "near2"]) dead.add(id);
  requests.length = 0;
  await check([stages.near]);
  expect(requests).toContain("far");
  expect(requests).not.toContain("near2");
  expect(targetTable.get("near")?.noResponseSinceMs).toBeDefined();
});

test("an unresponsive reference is replaced by the next", async () => {
  const { clock, targetTable, check, dead, stages } = checkerOfDomains();
  await check([stages.near2]);
  await clock.advance(30);
  await check([stages.far]);
  await clock.advance(120);
  for (const id of ["near", "far"]) dead.add(id);
  await check([stages.near]);
  expect(targetTable.get("near")?.noResponseSinceMs).toBeUndefined();
  await check([stages.near]);
  expect(targetTable.get("near")?.noResponseSinceMs).toBeDefined();
});

test("a target whose report has arrived, but was not read before the timers, is not unresponsive", async () => {
  const clock = new ManualClock();
  const targetTable = new TargetTable({ clock, log: silentLog });
  targetTable.put(RECORD);
  targetTable.put(OTHER);
  const unread: (() => void)[] = [];
  const control: Pick<ITargetControl, "report"> = {
    report: ({ id }) =>
      id === "t"
        ? new Promise((resolve) => unread.push(() => resolve(REPORT)))
        : Promise.resolve(REPORT),
  };
  const checker = new StageChecker({
    targetTable,
    control: control as ITargetControl,
    clock,
    reachability: soundLink(targetTable),
    readArrived: () => {
      for (const read of unread) read();
      return Promise.resolve();
    },
  });
  await clock.runUntil(checker.check([STAGE, OTHER_STAGE]));
  expect(targetTable.get("t")?.noResponseSinceMs).toBeUndefined();
});

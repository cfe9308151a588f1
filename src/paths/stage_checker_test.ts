import { expect, test } from "vitest";
import { systemClock } from "../common/clock.ts";
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
  let requests = 0;
  const control: Pick<ITargetControl, "report"> = {
    async report({ id }, timeoutMs) {
      const afterMs = id === "t" ? answersAfterMs[requests++] : otherAfterMs();
      if (afterMs === undefined || afterMs > timeoutMs) {
        await systemClock.sleep(timeoutMs);
        return undefined;
      }
      await systemClock.sleep(afterMs);
      return REPORT;
    },
  };
  const targetTable = new TargetTable({ clock: systemClock, log: silentLog });
  targetTable.put(RECORD);
  targetTable.put(OTHER);
  const checker = new StageChecker({
    targetTable,
    control: control as ITargetControl,
    clock: systemClock,
    reachability: soundLink(targetTable),
  });
  return { targetTable, checker, requests: () => requests };
}

test("concurrent and closely following checks of a target share one request", async () => {
  const { targetTable, checker, requests } = checkerWith([2]);
  await Promise.all([checker.check([STAGE]), checker.check([STAGE])]);
  expect(requests()).toBe(1);
  expect(targetTable.get("t")?.noResponseSinceMs).toBeUndefined();
  await checker.check([STAGE]);
  expect(requests()).toBe(1);
});

test("a target over which another stream made progress since the stall is not asked", async () => {
  const { targetTable, checker, requests } = checkerWith([2]);
  const nowMs = systemClock.nowMs();
  targetTable.get("t")?.recordActivity(nowMs - 5);
  await checker.check([STAGE], nowMs - 50);
  expect(requests()).toBe(0);
  await checker.check([STAGE], nowMs);
  expect(requests()).toBe(1);
});

test("a second request makes up for a lost answer", async () => {
  const { targetTable, checker } = checkerWith([undefined, 2]);
  await checker.check([STAGE]);
  expect(targetTable.get("t")?.noResponseSinceMs).toBeUndefined();
});

test("a target that answers neither request is unresponsive", async () => {
  const { targetTable, checker } = checkerWith([undefined, undefined]);
  const changed: string[] = [];
  targetTable.onChange(({ id }) => changed.push(id));
  await checker.check([STAGE, OTHER_STAGE]);
  expect(targetTable.get("t")?.noResponseSinceMs).toBeDefined();
  expect(changed).toEqual(["t"]);
});

test("a target is not marked as unresponsive while no other target answers", async () => {
  let isLinkFull = false;
  const { targetTable, checker } = checkerWith(
    [],
    () => isLinkFull ? undefined : 1,
  );
  await checker.check([OTHER_STAGE]);
  isLinkFull = true;
  await systemClock.sleep(120);
  await checker.check([STAGE, OTHER_STAGE]);
  expect(
    targetTable.all().every(({ noResponseSinceMs }) =>
      noResponseSinceMs === undefined
    ),
  )
    .toBe(true);
});

test("the last target to answer is probed as a reference if only one target is checked", async () => {
  const { targetTable, checker } = checkerWith([]);
  await checker.check([OTHER_STAGE]);
  await systemClock.sleep(120);
  await checker.check([STAGE]);
  expect(targetTable.get("t")?.noResponseSinceMs).toBeDefined();
  expect(targetTable.get("other")?.noResponseSinceMs).toBeUndefined();
});

test("slow answers extend the probe timeout", async () => {
  const { targetTable, checker } = checkerWith([90, 90, 90, 90], () => 60);
  await checker.check([OTHER_STAGE]);
  await checker.check([STAGE, OTHER_STAGE]);
  expect(targetTable.get("t")?.noResponseSinceMs).toBeUndefined();
});

test("a late answer marks the target as responsive again", async () => {
  const { targetTable, checker } = checkerWith([200, undefined]);
  await checker.check([STAGE, OTHER_STAGE]);
  expect(targetTable.get("t")?.noResponseSinceMs).toBeDefined();
  await systemClock.sleep(200);
  expect(targetTable.get("t")?.noResponseSinceMs).toBeUndefined();
});

/** Targets of two failure domains; those in `dead` never answer. */
function checkerOfDomains() {
  const dead = new Set<string>();
  const requests: string[] = [];
  const control: Pick<ITargetControl, "report"> = {
    async report({ id }, timeoutMs) {
      requests.push(id);
      await systemClock.sleep(dead.has(id) ? timeoutMs : 1);
      return dead.has(id) ? undefined : REPORT;
    },
  };
  const targetTable = new TargetTable({ clock: systemClock, log: silentLog });
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
    clock: systemClock,
    reachability: soundLink(targetTable),
  });
  return { targetTable, checker, dead, requests, stages };
}

test("a target of another failure domain is the preferred reference", async () => {
  const { targetTable, checker, dead, requests, stages } = checkerOfDomains();
  await checker.check([stages.far]);
  await systemClock.sleep(30);
  // Answered last, but is lost together with the checked target.
  await checker.check([stages.near2]);
  await systemClock.sleep(120);
  for (const id of ["near", "near2"]) dead.add(id);
  requests.length = 0;
  await checker.check([stages.near]);
  expect(requests).toContain("far");
  expect(requests).not.toContain("near2");
  expect(targetTable.get("near")?.noResponseSinceMs).toBeDefined();
});

test("an unresponsive reference is replaced by the next", async () => {
  const { targetTable, checker, dead, stages } = checkerOfDomains();
  await checker.check([stages.near2]);
  await systemClock.sleep(30);
  await checker.check([stages.far]);
  await systemClock.sleep(120);
  for (const id of ["near", "far"]) dead.add(id);
  await checker.check([stages.near]);
  expect(targetTable.get("near")?.noResponseSinceMs).toBeUndefined();
  await checker.check([stages.near]);
  expect(targetTable.get("near")?.noResponseSinceMs).toBeDefined();
});

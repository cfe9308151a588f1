import { expect, test } from "vitest";
import { systemClock } from "../common/clock.ts";
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
 * Each question is answered after its time, or not before its deadline; the
 * other target's questions are answered after `otherAfterMs`.
 */
function checkerWith(
  answersAfterMs: (number | undefined)[],
  otherAfterMs: () => number | undefined = () => 1,
) {
  let asked = 0;
  const control: Pick<ITargetControl, "report"> = {
    async report({ id }, timeoutMs) {
      const afterMs = id === "t" ? answersAfterMs[asked++] : otherAfterMs();
      if (afterMs === undefined || afterMs > timeoutMs) {
        await systemClock.sleep(timeoutMs);
        return undefined;
      }
      await systemClock.sleep(afterMs);
      return REPORT;
    },
  };
  const book = new TargetTable({ clock: systemClock, log: silentLog });
  book.put(RECORD);
  book.put(OTHER);
  const checker = new StageChecker({
    targetTable: book,
    control: control as ITargetControl,
    clock: systemClock,
  });
  return { book, checker, asked: () => asked };
}

test("a target that answers is asked once", async () => {
  const { book, checker, asked } = checkerWith([2]);
  await Promise.all([checker.check([STAGE]), checker.check([STAGE])]);
  expect(asked()).toBe(1);
  expect(book.get("t")?.noResponseSinceMs).toBeUndefined();
  await checker.check([STAGE]);
  expect(asked()).toBe(1);
});

test("a lost answer is made good by a second question", async () => {
  const { book, checker } = checkerWith([undefined, 2]);
  await checker.check([STAGE]);
  expect(book.get("t")?.noResponseSinceMs).toBeUndefined();
});

test("a target that answers neither question is silent", async () => {
  const { book, checker } = checkerWith([undefined, undefined]);
  const changed: string[] = [];
  book.onChange(({ id }) => changed.push(id));
  await checker.check([STAGE, OTHER_STAGE]);
  expect(book.get("t")?.noResponseSinceMs).toBeDefined();
  expect(changed).toEqual(["t"]);
});

test("a target is not silent while no other answers either", async () => {
  let isLinkFull = false;
  const { book, checker } = checkerWith(
    [],
    () => isLinkFull ? undefined : 1,
  );
  await checker.check([OTHER_STAGE]);
  isLinkFull = true;
  await systemClock.sleep(120);
  await checker.check([STAGE, OTHER_STAGE]);
  expect(
    book.all().every(({ noResponseSinceMs: silentSinceMs }) =>
      silentSinceMs === undefined
    ),
  )
    .toBe(true);
});

test("the target that answered last is asked where one is silent alone", async () => {
  const { book, checker } = checkerWith([]);
  await checker.check([OTHER_STAGE]);
  await systemClock.sleep(120);
  await checker.check([STAGE]);
  expect(book.get("t")?.noResponseSinceMs).toBeDefined();
  expect(book.get("other")?.noResponseSinceMs).toBeUndefined();
});

test("where answers come late, targets have longer to answer", async () => {
  const { book, checker } = checkerWith([90, 90, 90, 90], () => 60);
  await checker.check([OTHER_STAGE]);
  await checker.check([STAGE, OTHER_STAGE]);
  expect(book.get("t")?.noResponseSinceMs).toBeUndefined();
});

test("an answer that comes after all ends the silence", async () => {
  const { book, checker } = checkerWith([200, undefined]);
  await checker.check([STAGE, OTHER_STAGE]);
  expect(book.get("t")?.noResponseSinceMs).toBeDefined();
  await systemClock.sleep(200);
  expect(book.get("t")?.noResponseSinceMs).toBeUndefined();
});

/** Targets of two failure domains; those named are never heard again. */
function checkerOfDomains() {
  const dead = new Set<string>();
  const asked: string[] = [];
  const control: Pick<ITargetControl, "report"> = {
    async report({ id }, timeoutMs) {
      asked.push(id);
      await systemClock.sleep(dead.has(id) ? timeoutMs : 1);
      return dead.has(id) ? undefined : REPORT;
    },
  };
  const book = new TargetTable({ clock: systemClock, log: silentLog });
  const stageOf = (id: string, domain: string) => {
    const address = `10.0.1.${book.all().length + 1}:80`;
    book.put({ ...RECORD, id, domain, address });
    return { ...STAGE, targetId: id, address };
  };
  const stages = {
    near: stageOf("near", "a"),
    near2: stageOf("near2", "a"),
    far: stageOf("far", "b"),
  };
  const checker = new StageChecker({
    targetTable: book,
    control: control as ITargetControl,
    clock: systemClock,
  });
  return { book, checker, dead, asked, stages };
}

test("a target of another failure domain is the first witness", async () => {
  const { book, checker, dead, asked, stages } = checkerOfDomains();
  await checker.check([stages.far]);
  await systemClock.sleep(30);
  // Heard last, but lost together with the one that is asked about.
  await checker.check([stages.near2]);
  await systemClock.sleep(120);
  for (const id of ["near", "near2"]) dead.add(id);
  asked.length = 0;
  await checker.check([stages.near]);
  expect(asked).toContain("far");
  expect(asked).not.toContain("near2");
  expect(book.get("near")?.noResponseSinceMs).toBeDefined();
});

test("a witness that is silent too gives way to the next", async () => {
  const { book, checker, dead, stages } = checkerOfDomains();
  await checker.check([stages.near2]);
  await systemClock.sleep(30);
  await checker.check([stages.far]);
  await systemClock.sleep(120);
  for (const id of ["near", "far"]) dead.add(id);
  await checker.check([stages.near]);
  expect(book.get("near")?.noResponseSinceMs).toBeUndefined();
  await checker.check([stages.near]);
  expect(book.get("near")?.noResponseSinceMs).toBeDefined();
});

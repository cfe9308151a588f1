import { expect, test } from "vitest";
import { systemClock } from "../common/clock.ts";
import { silentLog } from "../common/logging.ts";
import type { ITargetControl } from "../ports/services.ts";
import type { TargetRecord, TargetReport } from "../ports/types.ts";
import { StageChecker } from "./stage_checker.ts";
import { TargetBook } from "./target_book.ts";

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

/** Each question is answered after its time, or not before its deadline. */
function checkerWith(answersAfterMs: (number | undefined)[]) {
  let asked = 0;
  const control: Pick<ITargetControl, "report"> = {
    async report(_target, timeoutMs) {
      const afterMs = answersAfterMs[asked++];
      if (afterMs === undefined || afterMs > timeoutMs) {
        await systemClock.sleep(timeoutMs);
        return undefined;
      }
      await systemClock.sleep(afterMs);
      return REPORT;
    },
  };
  const book = new TargetBook({ clock: systemClock, log: silentLog });
  book.put(RECORD);
  const checker = new StageChecker({
    book,
    control: control as ITargetControl,
    clock: systemClock,
    log: silentLog,
  });
  return { book, checker, asked: () => asked };
}

test("a target that answers is asked once", async () => {
  const { book, checker, asked } = checkerWith([2]);
  await Promise.all([checker.check([STAGE]), checker.check([STAGE])]);
  expect(asked()).toBe(1);
  expect(book.get("t")?.silentSinceMs).toBeUndefined();
  await checker.check([STAGE]);
  expect(asked()).toBe(1);
});

test("a lost answer is made good by a second question", async () => {
  const { book, checker } = checkerWith([undefined, 2]);
  await checker.check([STAGE]);
  expect(book.get("t")?.silentSinceMs).toBeUndefined();
});

test("a target that answers neither question is silent", async () => {
  const { book, checker } = checkerWith([undefined, undefined]);
  const changed: string[] = [];
  book.onChange(({ id }) => changed.push(id));
  await checker.check([STAGE]);
  expect(book.get("t")?.silentSinceMs).toBeDefined();
  expect(changed).toEqual(["t"]);
});

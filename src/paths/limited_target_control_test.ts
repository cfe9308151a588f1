import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { BucketMetrics } from "../common/bucket_metrics.ts";
import { silentLog } from "../common/logging.ts";
import { Emitter } from "../common/emitter.ts";
import type { ITargetControl, TargetNotice } from "../ports/services.ts";
import type { TargetReport } from "../ports/types.ts";
import { LimitedTargetControl } from "./limited_target_control.ts";
import { TargetLimits } from "./target_limits.ts";
import { TargetTable } from "./target_table.ts";

const TARGET = { id: "a", address: "10.0.0.1:1" };
const PATH = [{ targetId: "a", address: "10.0.0.1:1", from: 0, to: 4 }];

/** A target that responds with its report, or not, and may add a notice. */
function setUp(
  { report = {}, notice }: {
    readonly report?: Partial<TargetReport> | undefined;
    readonly notice?: Partial<TargetNotice>;
  } = {},
) {
  const clock = new ManualClock();
  const targets = new TargetTable({ clock, log: silentLog });
  targets.put({
    ...TARGET,
    service: "s",
    domain: "d",
    state: "ready",
    bornMs: 1,
    kind: undefined,
    span: undefined,
  });
  const limits = new TargetLimits({
    clock,
    log: silentLog,
    targets,
    hostId: "h",
    otherHosts: () => [],
  });
  const calls: string[] = [];
  const notices = new Emitter<TargetNotice>();
  const fireNotice = (): void => {
    if (notice === undefined) return;
    const none = { targetId: "a", isLeaving: false, pauseMs: undefined };
    notices.fire({ ...none, ...notice });
  };
  const control: ITargetControl = {
    onNotice: notices.event,
    probe: () => Promise.resolve(true),
    report: () => {
      calls.push("report");
      fireNotice();
      return Promise.resolve(
        notice?.pauseMs === undefined ? report as TargetReport : undefined,
      );
    },
    place: () => {
      calls.push("place");
      fireNotice();
      return Promise.resolve({ kind: "begun" });
    },
    repath: () => {
      calls.push("repath");
      return Promise.resolve({ kind: "begun" });
    },
  };
  const metrics = new BucketMetrics();
  const limited = new LimitedTargetControl({
    control,
    limits,
    targets,
    clock,
    metrics,
  });
  return { clock, targets, limits, limited, calls, metrics };
}

test("a target that wants a pause gets no query and no order until its end", async () => {
  const { clock, limits, limited, calls } = setUp();
  limits.pause("a", 1_000);
  expect(await limited.report(TARGET, 100)).toBe("withheld");
  expect(await limited.repath(TARGET, "r", PATH))
    .toMatchObject({ kind: "refused" });
  expect(await limited.place(TARGET, { from: 0, to: 4 }, 0))
    .toMatchObject({ kind: "refused" });
  expect(calls).toEqual([]);
  await clock.advance(1_000);
  await limited.report(TARGET, 100);
  await limited.repath(TARGET, "r", PATH);
  await limited.place(TARGET, { from: 0, to: 4 }, 0);
  expect(calls).toEqual(["report", "repath", "place"]);
});

test("a target that says in a report that it leaves gets no new work", async () => {
  const { targets, limited } = setUp({ notice: { isLeaving: true } });
  expect(targets.get("a")?.isReady).toBe(true);
  await limited.report(TARGET, 100);
  expect(targets.get("a")?.isReady).toBe(false);
});

test("a target that says in the response to an order that it leaves gets no new work", async () => {
  const { targets, limited } = setUp({ notice: { isLeaving: true } });
  await limited.place(TARGET, { from: 0, to: 4 }, 0);
  expect(targets.get("a")?.isReady).toBe(false);
});

test("a target that rejects a query and asks for a pause has responded, and gets none until its end", async () => {
  const { clock, limited, calls } = setUp({ notice: { pauseMs: 1_000 } });
  expect(await limited.report(TARGET, 100)).toBe("withheld");
  await clock.advance(900);
  expect(await limited.report(TARGET, 100)).toBe("withheld");
  expect(calls).toEqual(["report"]);
});

test("a pause lasts beyond a lapse of the record, but not for a later process", () => {
  const { targets, limits } = setUp();
  const record = targets.get("a")?.record;
  if (record === undefined) throw new Error("no target");
  limits.pause("a", 5_000);
  targets.remove("a", true);
  targets.put(record);
  expect(limits.canSend("a")).toBe(false);
  targets.put({ ...record, bornMs: 2 });
  expect(limits.canSend("a")).toBe(true);
});

test("calls are counted by kind and purpose, without those that are withheld", async () => {
  const { limits, limited, metrics } = setUp();
  await limited.report(TARGET, 100, { purpose: "late-event" });
  await limited.report(TARGET, 100, { purpose: "recovery" });
  await limited.report(TARGET, 100, { purpose: "recovery" });
  await limited.probe(TARGET, 100, { purpose: "reachability" });
  await limited.repath(TARGET, "r", PATH);
  await limited.place(TARGET, { from: 0, to: 4 }, 0);
  limits.pause("a", 1_000);
  await limited.report(TARGET, 100, { purpose: "recovery" });
  await limited.repath(TARGET, "r", PATH);
  const counts = metrics.render().split("\n").filter((line) =>
    line.startsWith("jackdawshift_control_calls_total{")
  );
  expect(counts.map((line) => line.slice(line.indexOf("{")))).toEqual([
    '{call="report",purpose="late-event"} 1',
    '{call="report",purpose="recovery"} 2',
    '{call="probe",purpose="reachability"} 1',
    '{call="order",purpose="repath"} 1',
    '{call="order",purpose="placement"} 1',
  ]);
});

import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import { expect, test } from "vitest";
import { soundLink } from "../../test/reachability.ts";
import { ManualClock } from "../../test/manual_clock.ts";
import { smallEngineProfile } from "../../test/small_engine.ts";
import { BucketMetrics } from "../common/bucket_metrics.ts";
import { silentLog } from "../common/logging.ts";
import { PathChooser } from "../paths/path_chooser.ts";
import { TargetTable } from "../paths/target_table.ts";
import type { OrderOutcome } from "../ports/types.ts";
import type { CallContext } from "./context.ts";
import { StreamRelay } from "./stream_relay.ts";
import { StreamMonitor } from "./stream_monitor.ts";

const FIGURES = smallEngineProfile(900);

/** A stream over two targets that sends no event; a third can replace the second. */
function stalledStream() {
  const clock = new ManualClock();
  const targets = new TargetTable({ clock, log: silentLog });
  const spans = [["a", 0, 4], ["b", 4, 8], ["c", 4, 8]] as const;
  spans.forEach(([id, from, to], index) =>
    targets.put({
      id,
      service: "s",
      address: `10.0.0.1:${index + 1}`,
      domain: "d",
      state: "ready",
      bornMs: 0,
      kind: "small",
      span: { from, to },
    })
  );
  const checkedAtMs: number[] = [];
  const repaths: string[] = [];
  const repathedAtMs: number[] = [];
  const outcome: { next: OrderOutcome } = { next: { kind: "begun" } };
  const chooser = new PathChooser({
    targetTable: targets,
    clock,
    domain: "d",
    random: () => 0,
  });
  const context = {
    clock,
    log: silentLog,
    metrics: new BucketMetrics(),
    targets,
    reachability: soundLink(targets),
    chooser,
    checker: {
      check: () => {
        checkedAtMs.push(clock.nowMs());
        return Promise.resolve();
      },
    },
    control: {
      report: () =>
        Promise.resolve({
          bornMs: 0,
          orderSeq: 0,
          isBusy: false,
          kind: "small",
          span: { from: 0, to: 4 },
          slowness: 1,
          active: 1,
          queued: 0,
          usedTokenLayers: 0,
          totalTokenLayers: 0,
          stalled: [],
        }),
      repath: (_first: unknown, _id: string, path: { targetId: string }[]) => {
        repaths.push(path.map(({ targetId }) => targetId).join(","));
        repathedAtMs.push(clock.nowMs());
        return Promise.resolve(outcome.next);
      },
    },
    monitor: new StreamMonitor({ clock, onTick: () => {} }),
  } as unknown as CallContext;
  const demand = { service: "s", figures: FIGURES, tokens: 100 };
  const path = chooser.choose(demand);
  if (path === undefined) throw new Error("no path");
  const relay = new StreamRelay({
    context,
    ...demand,
    requestId: "r",
    path,
    abort: () => {},
    mayAbandon: () => false,
    isQuarantined: () => false,
    onStageLost: () => {},
    onOverdue: () => {},
    onPathChange: () => {},
  });
  const runChecks = async (spanMs: number) => {
    for (let leftMs = spanMs; leftMs > 0; leftMs -= 10) {
      await clock.advance(10);
      relay.checkProgress(clock.nowMs());
      await clock.advance(0);
    }
  };
  const answer = new PassThrough();
  const result = relay.run(
    {
      kind: "answer",
      answer: answer as unknown as IncomingMessage,
      hasFailed: () => false,
      isNewConnection: true,
    },
    { lastEventId: undefined, onEvents: () => true },
  );
  const deliver = (text: string) => answer.emit("data", Buffer.from(text));
  const deliverEvent = () => deliver("id: 0\ndata: x\n\n");
  return {
    checkedAtMs,
    repaths,
    repathedAtMs,
    outcome,
    targets,
    clock,
    relay,
    runChecks,
    path,
    deliver,
    deliverEvent,
    result,
    answer,
  };
}

test("an event without end breaks the send and closes its connection", async () => {
  const { deliver, result, answer, relay } = stalledStream();
  for (let i = 0; i < 64; i++) deliver("x".repeat(64 * 1024));
  expect(await result).toMatchObject({
    kind: "broken",
    reason: "event exceeds the maximum size",
  });
  expect(answer.destroyed).toBe(true);
  relay.dispose();
});

test("a stalled stream that sends a blank line or a comment now and then is checked", async () => {
  const { checkedAtMs, deliver, runChecks, relay } = stalledStream();
  for (let i = 0; i < 20; i++) {
    deliver(i % 2 === 0 ? "\n" : ": wait\n\n");
    await runChecks(50);
  }
  expect(checkedAtMs.length).toBeGreaterThanOrEqual(3);
  relay.dispose();
});

test("checks of a stalled stream with responsive stages back off", async () => {
  const { checkedAtMs, repaths, runChecks, relay } = stalledStream();
  await runChecks(4_000);
  const pausesMs = checkedAtMs.slice(1).map((atMs, index) =>
    atMs - checkedAtMs[index]
  );
  expect(Math.min(...pausesMs.slice(3))).toBeGreaterThanOrEqual(400);
  expect(checkedAtMs.length).toBeLessThanOrEqual(13);
  expect(repaths).toEqual([]);
  relay.dispose();
});

test("a stage found unresponsive is replaced at once, whatever the check delay", async () => {
  const { repaths, runChecks, targets, path, relay, checkedAtMs } =
    stalledStream();
  await runChecks(2_000);
  const [, second] = path.stages;
  const before = checkedAtMs.length;
  targets.get(second.targetId)?.markUnresponsive();
  await runChecks(30);
  expect(checkedAtMs.length).toBe(before);
  const other = second.targetId === "b" ? "c" : "b";
  expect(repaths).toEqual([`a,${other}`]);
  relay.dispose();
});

test("suspicion by one host triggers a check, by two hosts a repath", async () => {
  const {
    checkedAtMs,
    repaths,
    runChecks,
    targets,
    path,
    relay,
    clock,
    deliverEvent,
  } = stalledStream();
  deliverEvent();
  const second = targets.get(path.stages[1].targetId);
  second?.addSuspicion("host-1", clock.nowMs() + 800);
  await runChecks(70);
  expect(checkedAtMs).toHaveLength(1);
  expect(repaths).toEqual([]);
  second?.addSuspicion("host-2", clock.nowMs() + 800);
  await runChecks(30);
  expect(repaths).toHaveLength(1);
  relay.dispose();
});

test("refused repaths back off", async () => {
  const { repathedAtMs, outcome, runChecks, targets, path, relay } =
    stalledStream();
  outcome.next = { kind: "refused", status: 409 };
  targets.get(path.stages[1].targetId)?.markUnresponsive();
  await runChecks(3_000);
  const pausesMs = repathedAtMs.slice(1).map((atMs, index) =>
    atMs - repathedAtMs[index]
  );
  expect(pausesMs.length).toBeGreaterThan(4);
  expect(Math.min(...pausesMs.slice(3))).toBeGreaterThanOrEqual(400);
  relay.dispose();
});

test("a path refused because of another ended target is replaced at once by one without it", async () => {
  const { repaths, outcome, runChecks, targets, path, relay } = stalledStream();
  targets.put({
    id: "d",
    service: "s",
    address: "10.0.0.1:4",
    domain: "d",
    state: "ready",
    bornMs: 0,
    kind: "small",
    span: { from: 4, to: 8 },
  });
  outcome.next = { kind: "refused", status: 409, address: "10.0.0.1:3" };
  const [, second] = path.stages;
  targets.get(second.targetId)?.markUnresponsive();
  // The refusal names c, so at most one path through it is tried.
  await runChecks(70);
  expect(repaths.length).toBeGreaterThanOrEqual(2);
  expect(repaths.filter((one) => one === "a,c").length).toBeLessThanOrEqual(1);
  expect(repaths).toContain("a,d");
  relay.dispose();
});

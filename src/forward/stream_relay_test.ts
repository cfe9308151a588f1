import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { smallFigures } from "../../test/small_engine.ts";
import { BucketMetrics } from "../common/bucket_metrics.ts";
import { silentLog } from "../common/logging.ts";
import { PathChooser } from "../paths/path_chooser.ts";
import { TargetTable } from "../paths/target_table.ts";
import type { OrderOutcome } from "../ports/types.ts";
import type { CallContext } from "./context.ts";
import { StreamRelay } from "./stream_relay.ts";
import { StreamMonitor } from "./stream_monitor.ts";

const FIGURES = smallFigures(900);

/** A stream over two targets that sends no event; a third could take the second's place. */
function quietStream() {
  const clock = new ManualClock();
  const book = new TargetTable({ clock, log: silentLog });
  const halves = [["a", 0, 4], ["b", 4, 8], ["c", 4, 8]] as const;
  halves.forEach(([id, from, to], index) =>
    book.put({
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
  const asked: number[] = [];
  const moved: string[] = [];
  const movedMs: number[] = [];
  const outcome: { next: OrderOutcome } = { next: { kind: "begun" } };
  const chooser = new PathChooser({
    targetTable: book,
    clock,
    domain: "d",
    random: () => 0,
  });
  const context = {
    clock,
    log: silentLog,
    metrics: new BucketMetrics(),
    book,
    chooser,
    checker: {
      check: () => {
        asked.push(clock.nowMs());
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
        moved.push(path.map(({ targetId }) => targetId).join(","));
        movedMs.push(clock.nowMs());
        return Promise.resolve(outcome.next);
      },
    },
    watch: new StreamMonitor({ clock, onTick: () => {} }),
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
    onPathChange: () => {},
  });
  const lookFor = async (spanMs: number) => {
    for (let leftMs = spanMs; leftMs > 0; leftMs -= 10) {
      await clock.advance(10);
      relay.checkProgress(clock.nowMs());
      await clock.advance(0);
    }
  };
  const answer = new PassThrough();
  void relay.run(
    {
      kind: "answer",
      answer: answer as unknown as IncomingMessage,
      hasFailed: () => false,
    },
    { lastEventId: undefined, onEvents: () => true },
  );
  /** One event arrives. */
  const arrive = () => {
    answer.emit("data", Buffer.from("id: 0\ndata: x\n\n"));
  };
  return {
    asked,
    moved,
    movedMs,
    outcome,
    book,
    clock,
    relay,
    lookFor,
    path,
    arrive,
  };
}

test("sound stages of a stream that stands still are asked less and less often", async () => {
  const { asked, moved, lookFor, relay } = quietStream();
  await lookFor(4_000);
  const pausesMs = asked.slice(1).map((atMs, index) => atMs - asked[index]);
  expect(Math.min(...pausesMs.slice(3))).toBeGreaterThanOrEqual(400);
  expect(asked.length).toBeLessThanOrEqual(13);
  expect(moved).toEqual([]);
  relay.dispose();
});

test("a stage that turns out silent is left at once, however long the pause", async () => {
  const { moved, lookFor, book, path, relay, asked } = quietStream();
  await lookFor(2_000);
  const [, second] = path.stages;
  const before = asked.length;
  book.get(second.targetId)?.markUnresponsive();
  await lookFor(30);
  expect(asked.length).toBe(before);
  const other = second.targetId === "b" ? "c" : "b";
  expect(moved).toEqual([`a,${other}`]);
  relay.dispose();
});

test("the word of one host makes a stream ask, that of two makes it leave", async () => {
  const { asked, moved, lookFor, book, path, relay, clock, arrive } =
    quietStream();
  arrive();
  const second = book.get(path.stages[1].targetId);
  second?.addSuspicion("host-1", clock.nowMs() + 800);
  await lookFor(70);
  expect(asked).toHaveLength(1);
  expect(moved).toEqual([]);
  second?.addSuspicion("host-2", clock.nowMs() + 800);
  await lookFor(30);
  expect(moved).toHaveLength(1);
  relay.dispose();
});

test("a change of path that is refused is tried less and less often", async () => {
  const { movedMs, outcome, lookFor, book, path, relay } = quietStream();
  outcome.next = { kind: "refused", status: 409 };
  book.get(path.stages[1].targetId)?.markUnresponsive();
  await lookFor(3_000);
  const pausesMs = movedMs.slice(1).map((atMs, index) => atMs - movedMs[index]);
  expect(pausesMs.length).toBeGreaterThan(4);
  expect(Math.min(...pausesMs.slice(3))).toBeGreaterThanOrEqual(400);
  relay.dispose();
});

import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { soundLink } from "../../test/reachability.ts";
import { smallEngineProfile } from "../../test/small_engine.ts";
import { BucketMetrics } from "../common/bucket_metrics.ts";
import { silentLog } from "../common/logging.ts";
import { StageChecker } from "../paths/stage_checker.ts";
import { TargetTable } from "../paths/target_table.ts";
import type { PathStage, StalledRequest } from "../ports/types.ts";
import type { CallContext } from "./context.ts";
import { StreamMonitor } from "./stream_monitor.ts";
import { StreamRelay } from "./stream_relay.ts";

const FIGURES = smallEngineProfile(900);
const STAGES = 16;
const STAGE_IDS = Array.from({ length: STAGES }, (_, i) => `t${i}`);
const REPORT_MS = 5;

interface Query {
  readonly id: string;
  readonly atMs: number;
}

/** A host whose streams, of which none sends an event, run over 32 targets. */
function hostWithStreams(streamCount: number) {
  const clock = new ManualClock();
  const targets = new TargetTable({ clock, log: silentLog });
  const stages: PathStage[] = [];
  for (let i = 0; i < 2 * STAGES; i++) {
    const span = { from: i % STAGES, to: i % STAGES + 1 };
    const id = `t${i}`;
    const address = `10.0.0.1:${i + 1}`;
    targets.put({
      id,
      service: "s",
      address,
      domain: `d${i % 3}`,
      state: "ready",
      bornMs: 0,
      kind: undefined,
      span,
    });
    stages.push({ targetId: id, address, ...span });
  }
  const queries: Query[] = [];
  const dead = new Set<string>();
  const stalled: StalledRequest[] = [];
  const repaths: string[] = [];
  const control = {
    report: async ({ id }: { readonly id: string }, timeoutMs: number) => {
      queries.push({ id, atMs: clock.nowMs() });
      await clock.sleep(dead.has(id) ? timeoutMs : REPORT_MS);
      if (dead.has(id)) return undefined;
      return {
        bornMs: 0,
        orderSeq: 0,
        isBusy: false,
        kind: undefined,
        span: targets.get(id)?.span,
        slowness: 1,
        active: 1,
        queued: 0,
        usedTokenLayers: 0,
        totalTokenLayers: 1,
        stalled: id === "t0" ? stalled : [],
      };
    },
    repath: (_first: unknown, requestId: string) => {
      repaths.push(requestId);
      return Promise.resolve({ kind: "begun" });
    },
  };
  const reachability = soundLink(targets);
  const monitor = new StreamMonitor({ clock });
  const pathOf = (offset: number) => ({
    stages: stages.slice(offset, offset + STAGES),
    release: () => {},
  });
  const context = {
    clock,
    log: silentLog,
    metrics: new BucketMetrics(),
    targets,
    reachability,
    chooser: { choose: () => pathOf(STAGES) },
    checker: new StageChecker({
      targetTable: targets,
      control: control as unknown as CallContext["control"],
      clock,
      reachability,
    }),
    control,
    monitor,
  } as unknown as CallContext;
  for (let i = 0; i < streamCount; i++) {
    new StreamRelay({
      context,
      service: "s",
      figures: FIGURES,
      tokens: 100,
      requestId: `r${i}`,
      path: pathOf(i % 2 * STAGES) as never,
      abort: () => {},
      mayAbandon: () => false,
      isQuarantined: () => false,
      onStageLost: () => {},
      onOverdue: () => {},
      onPathChange: () => {},
    });
  }
  const stop = new AbortController();
  void monitor.run(stop.signal);
  const path = stages.slice(0, STAGES);
  const { checker } = context;
  return {
    clock,
    targets,
    queries,
    dead,
    stalled,
    repaths,
    stop,
    checker,
    path,
  };
}

function mostPerSecond(queries: readonly Query[]): number {
  return Math.max(
    0,
    ...queries.map(({ atMs }) =>
      queries.filter((one) => one.atMs >= atMs && one.atMs < atMs + 1_000)
        .length
    ),
  );
}

test.each([1, 10, 40])(
  "while events of all %i streams stay late, a host sends at most as many queries a second, plus 5, and one in 400 ms to each target",
  async (streamCount) => {
    const { clock, queries, stop } = hostWithStreams(streamCount);
    await clock.advance(8_000);
    stop.abort();
    const limit = streamCount + 5;
    // Those that were saved before allow for a check of both paths.
    expect(queries.length).toBeLessThanOrEqual(8 * limit + 30);
    const late = queries.filter(({ atMs }) => atMs >= queries[0].atMs + 2_000);
    expect(late.length).toBeGreaterThan(0);
    expect(mostPerSecond(late)).toBeLessThanOrEqual(limit);
    for (const { id, atMs } of queries) {
      const near = queries.filter((one) =>
        one.id === id && one.atMs >= atMs && one.atMs < atMs + 400
      );
      expect(near).toHaveLength(1);
    }
  },
);

// Listed in KNOWN-RED.txt: what was saved before exceeds the bound for a second.
test.each([1, 10, 40])(
  "from the first late event on, a host with %i streams sends at most as many queries a second, plus 5",
  async (streamCount) => {
    const { clock, queries, stop } = hostWithStreams(streamCount);
    await clock.advance(3_000);
    stop.abort();
    expect(mostPerSecond(queries)).toBeLessThanOrEqual(streamCount + 5);
  },
);

test("if the first target names the one that a request waits for, no other is queried", async () => {
  const { clock, queries, stalled, repaths, stop } = hostWithStreams(1);
  stalled.push({ requestId: "r0", address: "10.0.0.1:8" });
  await clock.advance(700);
  stop.abort();
  expect(new Set(queries.map(({ id }) => id))).toEqual(new Set(["t0"]));
  expect(repaths).toEqual(["r0"]);
});

test.each([1, 20])(
  "a dead target of a path is found with one round of queries, with %i streams",
  async (streamCount) => {
    const { clock, targets, queries, dead, stop } = hostWithStreams(
      streamCount,
    );
    dead.add("t15");
    while (targets.get("t15")?.isResponsive && clock.nowMs() < 5_000) {
      await clock.advance(5);
    }
    stop.abort();
    expect(targets.get("t15")?.noResponseSinceMs).toBeDefined();
    const counts = STAGE_IDS.map((id) =>
      queries.filter((one) => one.id === id).length
    );
    // The dead target is asked on a second connection, too.
    expect(counts).toEqual([...Array(STAGES - 1).fill(1), 2]);
  },
);

/** Queries of one check of the first path, 200 ms after all have reported. */
async function checkWithBudget(
  size: number,
  prepare: (targets: TargetTable, nowMs: number) => void,
): Promise<string[]> {
  const { clock, targets, queries, checker, path } = hostWithStreams(0);
  await clock.runUntil(checker.check(path));
  await clock.advance(200);
  prepare(targets, clock.nowMs());
  queries.length = 0;
  let left = size;
  const budget = { tryAcquire: () => left-- > 0, record: () => {} };
  await clock.runUntil(checker.check(path, Infinity, { budget }));
  await clock.runUntil(checker.check(path, Infinity, { budget }));
  return queries.map(({ id }) => id);
}

test("a target that another host begins to suspect is queried once more, whatever the budget", async () => {
  const asked = await checkWithBudget(0, (targets, nowMs) => {
    targets.get("t5")?.addSuspicion("host-1", nowMs + 5_000);
  });
  expect(asked).toEqual(["t5"]);
});

test("the targets not heard from for longest are queried first", async () => {
  const asked = await checkWithBudget(3, (targets, nowMs) => {
    for (const target of targets.all()) target.reportedMs = nowMs - 500;
    for (const id of ["t0", "t9", "t12"]) {
      const target = targets.get(id);
      if (target !== undefined) target.reportedMs = nowMs - 600;
    }
  });
  expect(asked).toEqual(["t0", "t9", "t12"]);
});

import { expect, test } from "vitest";
import { findBroken } from "./promises.ts";
import { BOUNDS } from "./settings.ts";
import type { Attempt, History, Run } from "./types.ts";

const EVENTS = Array.from(
  { length: BOUNDS.events },
  (_, index) => `id: ${index}\ndata: piece ${index}\n\n`,
);

function attempt(more: Partial<Attempt> = {}): Attempt {
  return {
    id: "x",
    route: "slips",
    key: "first",
    host: "host-0",
    startMs: 100,
    endMs: 200,
    status: 200,
    isWhole: true,
    isNotRun: false,
    hasLeft: false,
    echoedId: "x",
    signature: "signed.plain-1",
    body: "answer of plain-1",
    ...more,
  };
}

const stream = (more: Partial<Attempt> = {}) =>
  attempt({ route: "briefs", body: EVENTS.join(""), ...more });

function run(more: Partial<Run> = {}): Run {
  return { attemptId: "x", serverId: "plain-1", atMs: 150, ...more };
}

function broken(more: Partial<History>): string[] {
  return findBroken({
    attempts: [attempt()],
    runs: [run()],
    orders: [],
    revocations: [],
    absences: [],
    storeTroubles: [],
    quietFromMs: undefined,
    leftStreams: 0,
    ...more,
  }, BOUNDS);
}

test("sound histories break nothing", () => {
  expect(broken({})).toEqual([]);
  expect(broken({ attempts: [stream()], runs: [run(), run()] })).toEqual([]);
  const cut = { isWhole: false, body: EVENTS.slice(0, 3).join("") + "id: 3" };
  expect(broken({ attempts: [stream(cut)] })).toEqual([]);
});

const place = { op: "place", from: 0, to: 2, expect: 0 };
const revocations = [{ startMs: 1_000, endMs: 9_000 }];
const absences = [{ startMs: 1_000, endMs: 9_000, serverId: "plain-1" }];

test.each<[string, Partial<History>]>([
  ["a request that may run once runs twice", { runs: [run(), run()] }],
  ["a stream runs three times", {
    attempts: [stream()],
    runs: [run(), run(), run()],
  }],
  ["a request is said not to have run, though it has", {
    attempts: [attempt({ status: 503, isNotRun: true })],
  }],
  ["an answer comes from nowhere", { runs: [] }],
  ["an answer belongs to another request", {
    attempts: [attempt({ echoedId: "y" })],
  }],
  ["a body is cut and looks whole", {
    attempts: [attempt({ body: "answer" })],
  }],
  ["a signature belongs to another server", {
    attempts: [attempt({ signature: "signed.plain-2" })],
  }],
  ["a stream ends early and looks whole", {
    attempts: [stream({ body: EVENTS.slice(0, 5).join("") })],
  }],
  ["an event comes twice", {
    attempts: [stream({
      isWhole: false,
      body: EVENTS[0] + EVENTS[1] + EVENTS[1],
    })],
  }],
  ["an unknown key is served", { attempts: [attempt({ key: "unknown" })] }],
  ["a key is served long after it went", {
    attempts: [attempt({ key: "second" })],
    runs: [run({ atMs: 1_000 + BOUNDS.revokeMs + 1 })],
    revocations,
  }],
  ["a server that left gets a request", {
    runs: [run({ atMs: 1_000 + BOUNDS.drainMs + 300 })],
    absences,
  }],
  ["an order holds more than fits", {
    orders: [{ serverId: "model-1", order: { ...place, to: 3 } }],
  }],
  ["an order names no expected count", {
    orders: [{ serverId: "model-1", order: { ...place, expect: undefined } }],
  }],
  ["work goes on after its caller has gone", { leftStreams: 1 }],
  ["a request fails after the time to recover", {
    attempts: [attempt({ status: 503, startMs: 1_001 + BOUNDS.recoveryMs })],
    quietFromMs: 1_000,
  }],
])("%s", (_name, more) => {
  expect(broken(more)).toHaveLength(1);
});

test("what hosts could not learn while the store was away does not bind them", () => {
  const away = { startMs: 1_010, endMs: 3_000 };
  const at = (atMs: number) =>
    broken({ runs: [run({ atMs })], absences, storeTroubles: [away] });
  expect(at(1_000 + BOUNDS.drainMs + 300)).toEqual([]);
  expect(at(3_000 + 1_500 + BOUNDS.drainMs + 300)).toHaveLength(1);
});

test("more repeats than the budget are found", () => {
  const attempts = Array.from(
    { length: 200 },
    (_, index) => stream({ id: `x${index}`, echoedId: `x${index}` }),
  );
  const runsOf = (repeats: number) => [
    ...attempts.map(({ id }) => run({ attemptId: id })),
    ...attempts.slice(0, repeats).map(({ id }) => run({ attemptId: id })),
  ];
  const allowed = BOUNDS.retryRatio * 200 + BOUNDS.retrySlack;
  expect(broken({ attempts, runs: runsOf(allowed) })).toEqual([]);
  expect(broken({ attempts, runs: runsOf(allowed + 1) })).toHaveLength(1);
});

import { expect, test } from "vitest";
import { findViolations } from "./invariants.ts";
import { BOUNDS } from "./settings.ts";
import type { Attempt, Execution, History } from "./types.ts";

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
    isNotExecuted: false,
    hasDisconnected: false,
    echoedId: "x",
    signature: "signed.plain-1",
    body: "answer of plain-1",
    ...more,
  };
}

const stream = (more: Partial<Attempt> = {}) =>
  attempt({ route: "briefs", body: EVENTS.join(""), ...more });

function execution(more: Partial<Execution> = {}): Execution {
  return { attemptId: "x", serverId: "plain-1", atMs: 150, ...more };
}

function violations(more: Partial<History>): string[] {
  return findViolations({
    attempts: [attempt()],
    executions: [execution()],
    orders: [],
    revocations: [],
    absences: [],
    storeFaults: [],
    faultsEndMs: undefined,
    leakedStreams: 0,
    ...more,
  }, BOUNDS);
}

test("sound histories break nothing", () => {
  expect(violations({})).toEqual([]);
  expect(
    violations({
      attempts: [stream()],
      executions: [execution(), execution()],
    }),
  ).toEqual([]);
  const cut = { isWhole: false, body: EVENTS.slice(0, 3).join("") + "id: 3" };
  expect(violations({ attempts: [stream(cut)] })).toEqual([]);
});

const place = { op: "place", from: 0, to: 2, expect: 0 };
const revocations = [{ startMs: 1_000, endMs: 9_000 }];
const absences = [{ startMs: 1_000, endMs: 9_000, serverId: "plain-1" }];

test.each<[string, Partial<History>]>([
  ["a request that may run once runs twice", {
    executions: [execution(), execution()],
  }],
  ["a stream runs three times", {
    attempts: [stream()],
    executions: [execution(), execution(), execution()],
  }],
  ["a request is said not to have run, though it has", {
    attempts: [attempt({ status: 503, isNotExecuted: true })],
  }],
  ["an answer comes from nowhere", { executions: [] }],
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
    executions: [execution({ atMs: 1_000 + BOUNDS.revokeMs + 1 })],
    revocations,
  }],
  ["a server that left gets a request", {
    executions: [execution({ atMs: 1_000 + BOUNDS.drainMs + 300 })],
    absences,
  }],
  ["an order holds more than fits", {
    orders: [{ serverId: "model-1", order: { ...place, to: 3 } }],
  }],
  ["an order names no expected count", {
    orders: [{ serverId: "model-1", order: { ...place, expect: undefined } }],
  }],
  ["work goes on after its caller has gone", { leakedStreams: 1 }],
  ["a request fails after the time to recover", {
    attempts: [attempt({ status: 503, startMs: 1_001 + BOUNDS.recoveryMs })],
    faultsEndMs: 1_000,
  }],
])("%s", (_name, more) => {
  expect(violations(more)).toHaveLength(1);
});

test("what hosts could not learn while the store was away does not bind them", () => {
  const away = { startMs: 1_010, endMs: 3_000 };
  const at = (atMs: number) =>
    violations({
      executions: [execution({ atMs })],
      absences,
      storeFaults: [away],
    });
  expect(at(1_000 + BOUNDS.drainMs + 300)).toEqual([]);
  expect(at(3_000 + 1_500 + BOUNDS.drainMs + 300)).toHaveLength(1);
});

test("more repeats than the budget are found", () => {
  const attempts = Array.from(
    { length: 200 },
    (_, index) => stream({ id: `x${index}`, echoedId: `x${index}` }),
  );
  const runsOf = (repeats: number) => [
    ...attempts.map(({ id }) => execution({ attemptId: id })),
    ...attempts.slice(0, repeats).map(({ id }) => execution({ attemptId: id })),
  ];
  const allowed = BOUNDS.retryRatio * 200 + BOUNDS.retrySlack;
  expect(violations({ attempts, executions: runsOf(allowed) })).toEqual([]);
  expect(violations({ attempts, executions: runsOf(allowed + 1) }))
    .toHaveLength(1);
});

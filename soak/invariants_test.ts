import { expect, test } from "vitest";
import { findViolations } from "./invariants.ts";
import { BOUNDS, CRASHING_TEXT } from "./settings.ts";
import type { Attempt, Execution, History } from "./types.ts";

const EVENTS = Array.from(
  { length: BOUNDS.events },
  (_, index) => `id: ${index}\ndata: piece ${index}\n\n`,
);

function attempt(overrides: Partial<Attempt> = {}): Attempt {
  return {
    id: "x",
    route: "slips",
    key: "first",
    host: "host-0",
    content: "a body",
    startMs: 100,
    endMs: 200,
    status: 200,
    isWhole: true,
    isNotExecuted: false,
    hasDisconnected: false,
    echoedId: "x",
    signature: "signed.plain-1",
    body: "answer of plain-1",
    ...overrides,
  };
}

const stream = (overrides: Partial<Attempt> = {}) =>
  attempt({ route: "briefs", body: EVENTS.join(""), ...overrides });

function execution(overrides: Partial<Execution> = {}): Execution {
  return { attemptId: "x", serverId: "plain-1", atMs: 150, ...overrides };
}

function violations(overrides: Partial<History>): string[] {
  return findViolations({
    attempts: [attempt()],
    executions: [execution()],
    orders: [],
    revocations: [],
    absences: [],
    linkCuts: [],
    pauses: [],
    bursts: [],
    storeFaults: [],
    hostFaults: [],
    lives: [],
    rests: [],
    limits: [],
    untilMs: 0,
    faultsEndMs: undefined,
    leakedStreams: 0,
    invalidCalls: [],
    ...overrides,
  }, BOUNDS);
}

test("valid histories have no violations", () => {
  expect(violations({})).toEqual([]);
  expect(
    violations({
      attempts: [stream()],
      executions: [execution(), execution()],
    }),
  ).toEqual([]);
  const truncated = {
    isWhole: false,
    body: EVENTS.slice(0, 3).join("") + "id: 3",
  };
  expect(violations({ attempts: [stream(truncated)] })).toEqual([]);
});

const refused = { status: 503, retryAfter: "0.7" };
const place = { op: "place", from: 0, to: 2, expect: 0 };
const revocations = [{ startMs: 1_000, endMs: 9_000 }];
const absences = [{ startMs: 1_000, endMs: 9_000, serverId: "plain-1" }];

test.each<[string, Partial<History>]>([
  ["a non-idempotent request is executed twice", {
    executions: [execution(), execution()],
  }],
  ["a stream is executed three times", {
    attempts: [stream()],
    executions: [execution(), execution(), execution()],
  }],
  ["an executed request is answered as not executed", {
    attempts: [attempt({ ...refused, isNotExecuted: true })],
  }],
  ["a request is answered without an execution", { executions: [] }],
  ["an answer belongs to another request", {
    attempts: [attempt({ echoedId: "y" })],
  }],
  ["a truncated body is received as complete", {
    attempts: [attempt({ body: "answer" })],
  }],
  ["a signature belongs to another server", {
    attempts: [attempt({ signature: "signed.plain-2" })],
  }],
  ["a truncated stream is received as complete", {
    attempts: [stream({ body: EVENTS.slice(0, 5).join("") })],
  }],
  ["an event is repeated", {
    attempts: [stream({
      isWhole: false,
      body: EVENTS[0] + EVENTS[1] + EVENTS[1],
    })],
  }],
  ["an unknown key is served", { attempts: [attempt({ key: "unknown" })] }],
  ["a key is served after the revocation limit", {
    attempts: [attempt({ key: "second" })],
    executions: [execution({ atMs: 1_000 + BOUNDS.revokeMs + 1 })],
    revocations,
  }],
  ["a server that was removed receives a request", {
    executions: [execution({ atMs: 1_000 + BOUNDS.drainMs + 300 })],
    absences,
  }],
  ["an order assigns more layers than fit", {
    orders: [{ serverId: "model-1", order: { ...place, to: 3 } }],
  }],
  ["an order has no expected sequence number", {
    orders: [{ serverId: "model-1", order: { ...place, expect: undefined } }],
  }],
  ["a stream is still executing after its caller has finished", {
    leakedStreams: 1,
  }],
  ["a host sends a call that a back end cannot read", {
    invalidCalls: ["store: GET /v1/log-read?wait-ms=0.5: wait-ms: invalid"],
  }],
  ["a request fails after the recovery time", {
    attempts: [attempt({ ...refused, startMs: 1_001 + BOUNDS.recoveryMs })],
    faultsEndMs: 1_000,
  }],
])("%s", (_name, overrides) => {
  expect(violations(overrides)).toHaveLength(1);
});

test("time in which the store is down does not count towards the drain limit", () => {
  const outage = { startMs: 1_010, endMs: 3_000 };
  const at = (atMs: number) =>
    violations({
      executions: [execution({ atMs })],
      absences,
      storeFaults: [outage],
    });
  expect(at(1_000 + BOUNDS.drainMs + 300)).toEqual([]);
  expect(at(3_000 + 1_500 + BOUNDS.drainMs + 300)).toHaveLength(1);
});

test("a host that was paused is held to the drain limit after the stable window", () => {
  const pause = { host: "host-0", startMs: 1_500, endMs: 4_000 };
  const at = (atMs: number, host = "host-0") =>
    violations({
      executions: [execution({ atMs })],
      absences,
      hostFaults: [{ ...pause, host }],
    });
  expect(at(4_000 + BOUNDS.stableWindowMs - 1)).toEqual([]);
  expect(at(4_000 + BOUNDS.stableWindowMs + 1)).toHaveLength(1);
  expect(at(4_000 + BOUNDS.stableWindowMs - 1, "host-1")).toHaveLength(1);
});

test("more retries than the retry budget are a violation", () => {
  const attempts = Array.from(
    { length: 200 },
    (_, index) => stream({ id: `x${index}`, echoedId: `x${index}` }),
  );
  const executionsOf = (retryCount: number) => [
    ...attempts.map(({ id }) => execution({ attemptId: id })),
    ...attempts.slice(0, retryCount).map(({ id }) =>
      execution({ attemptId: id })
    ),
  ];
  const allowed = BOUNDS.retryRatio * 200 + BOUNDS.retrySlack;
  expect(violations({ attempts, executions: executionsOf(allowed) })).toEqual(
    [],
  );
  expect(violations({ attempts, executions: executionsOf(allowed + 1) }))
    .toHaveLength(1);
});

test("a content that ends servers may be sent three times more, not four", () => {
  const attempts = [attempt({
    content: `${CRASHING_TEXT}, x`,
    route: "acks",
    status: 502,
  })];
  const sentAfterMs = (afterMs: number, sends: number) =>
    violations({
      attempts: Array.from({ length: 7 }, (_, index) => ({
        ...attempts[0],
        id: `x${index}`,
      })),
      executions: Array.from({ length: 3 + sends }, (_, index) =>
        execution({
          attemptId: `x${index}`,
          atMs: 150 + (index < 3 ? 0 : afterMs),
        })),
    });
  const lateMs = BOUNDS.crashReactionMs + 1;
  expect(sentAfterMs(lateMs, 3)).toEqual([]);
  expect(sentAfterMs(lateMs, 4)).toHaveLength(1);
  expect(sentAfterMs(lateMs - 2, 4)).toEqual([]);
});

test("a prompt part gets three sends more after it ended five servers", () => {
  const atMs = [0, 100, 200, 300, 400, 3_500, 3_600, 3_700, 3_800];
  const attempts = atMs.map((_, index) =>
    attempt({ id: `x${index}`, crashingPart: "dead", status: 502 })
  );
  const executions = atMs.map((time, index) =>
    execution({ attemptId: `x${index}`, atMs: time })
  );
  const isLate = (line: string) => line.includes('"dead": ');
  expect(violations({ attempts, executions }).filter(isLate)).toHaveLength(1);
  expect(
    violations({ attempts, executions: executions.slice(0, 8) })
      .filter(isLate),
  ).toEqual([]);
});

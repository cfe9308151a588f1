/**
 * Checks the guarantee that a request reported as not run was not executed, over
 * real sockets and against the executions that the target counted.
 *
 * @module
 */

import fc from "fast-check";
import got from "got";
import { afterEach, beforeEach, describe, expect, test } from "vitest";
import { type RawScript, RawTarget } from "../../standins/common/raw_target.ts";
import { type Clock, systemClock } from "../common/clock.ts";
import type { Outcome, Verdict } from "../common/verdict.ts";
import { HttpClient, type HttpClientOptions } from "./http_client.ts";
import {
  COMPLETE_BODY,
  formatErrorResponse,
  formatResponse,
  type Send,
  SENDS,
  verdictOf,
} from "./testing/sends.ts";

const SEED = 20_261_203;
let target: RawTarget;
let url: string;
let http: HttpClient;
beforeEach(async () => {
  target = new RawTarget();
  url = await target.listen();
  http = new HttpClient();
});
afterEach(async () => {
  http.dispose();
  await target.close();
});

const withLongDeadline = () => ({ deadlineMs: systemClock.nowMs() + 10_000 });
const withShortDeadline = () => ({ deadlineMs: systemClock.nowMs() + 100 });

/** The verdict of a naive client that reports every broken connection as not run. */
function naiveVerdictOf(outcome: Outcome<unknown>): Verdict {
  const isBroken = outcome.isErr() &&
    (outcome.error.code === "connection-failed" ||
      outcome.error.code === "deadline-exceeded");
  return isBroken ? "not-run" : verdictOf(outcome);
}

interface BrokenCase {
  readonly name: string;
  readonly script: RawScript;
  readonly expected: Verdict;
  /** For `call`, if different: responses of services are returned as they are. */
  readonly expectedForCall?: Verdict;
  readonly isUnresponsive?: boolean;
}

const EXECUTED = { executeAtFraction: 1 };
const MAY_HAVE_RUN = "may-have-run";

const CASES: readonly BrokenCase[] = [
  {
    name: "closed when accepted",
    script: { cutAtFraction: 0 },
    expected: MAY_HAVE_RUN,
  },
  {
    name: "closed after the header, executed",
    script: { executeAtFraction: 0.001, cutAtFraction: 0.001 },
    expected: MAY_HAVE_RUN,
  },
  {
    name: "closed within the request body, executed",
    script: { executeAtFraction: 0.5, cutAtFraction: 0.5 },
    expected: MAY_HAVE_RUN,
  },
  {
    name: "closed within the request body, not executed",
    script: { cutAtFraction: 0.5 },
    expected: MAY_HAVE_RUN,
  },
  {
    name: "closed after the request body, not executed",
    script: { cutAtFraction: 1 },
    expected: MAY_HAVE_RUN,
  },
  {
    name: "response lost after execution",
    script: { executeAtFraction: 1, cutAtFraction: 1 },
    expected: MAY_HAVE_RUN,
  },
  {
    name: "closed within the response header",
    script: {
      ...EXECUTED,
      answer: formatResponse(200, "{}"),
      cutAnswerAtByte: 10,
    },
    expected: MAY_HAVE_RUN,
  },
  {
    name: "closed within the response body",
    script: {
      ...EXECUTED,
      answer: formatResponse(200, "x".repeat(100)),
      cutAnswerAtByte: 80,
    },
    expected: MAY_HAVE_RUN,
  },
  {
    name: "response delimited only by the end of the connection",
    script: {
      ...EXECUTED,
      answer: "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{}",
      closesAfterAnswer: true,
    },
    expected: MAY_HAVE_RUN,
  },
  {
    name: "response that is not HTTP",
    script: { ...EXECUTED, answer: "hello\r\n\r\n" },
    expected: MAY_HAVE_RUN,
  },
  {
    name: "unresponsive after execution",
    script: EXECUTED,
    expected: MAY_HAVE_RUN,
    isUnresponsive: true,
  },
  {
    name: "unresponsive before execution",
    script: {},
    expected: MAY_HAVE_RUN,
    isUnresponsive: true,
  },
  {
    name: "redirected",
    script: {
      ...EXECUTED,
      answer: formatResponse(307, "", "location: /other\r\n"),
    },
    expected: MAY_HAVE_RUN,
    expectedForCall: "complete",
  },
  ...["leaving", "overloaded", "loading"].map((error): BrokenCase => ({
    name: `503 ${error}`,
    script: { answer: formatErrorResponse(503, error) },
    expected: "not-run",
  })),
  {
    name: "409 stale-generation",
    script: { answer: formatErrorResponse(409, "stale-generation") },
    expected: "not-run",
    expectedForCall: "complete",
  },
  {
    name: "429 rate-limited",
    script: { answer: formatErrorResponse(429, "rate-limited") },
    expected: "not-run",
    expectedForCall: "complete",
  },
  ...[503, 409, 429, 500, 502].flatMap((status): BrokenCase[] =>
    [undefined, "constructor", "unknown-code"].map((error) => ({
      name: `${status} with ${error ?? "no error code"}, executed`,
      script: { ...EXECUTED, answer: formatErrorResponse(status, error) },
      expected: MAY_HAVE_RUN,
      expectedForCall: "complete",
    }))
  ),
];

describe.each(Object.keys(SENDS))("%s", (kind) => {
  const send = SENDS[kind];

  test.each([...CASES])("$name", async (brokenCase) => {
    target.setScripts(brokenCase.script);
    const outcome = brokenCase.isUnresponsive
      ? await sendPastDeadline(send)
      : await send(url, http, withLongDeadline());
    const verdict = verdictOf(outcome);
    await target.closeConnections();
    const expected = kind === "call"
      ? brokenCase.expectedForCall ?? brokenCase.expected
      : brokenCase.expected;
    expect(verdict).toBe(expected);
    if (verdict === "not-run") expect(target.executionCount).toBe(0);
    expect(target.executionCount).toBeLessThanOrEqual(1);
  });

  test("a request on a reused connection that the target closes may have run", async () => {
    const answer = formatResponse(200, COMPLETE_BODY[kind]);
    target.setScripts({ ...EXECUTED, answer }, {
      executeAtFraction: 0.001,
      cutAtFraction: 0.001,
    });
    expect(verdictOf(await send(url, http, withLongDeadline()))).toBe(
      "complete",
    );
    expect(verdictOf(await send(url, http, withLongDeadline()))).toBe(
      MAY_HAVE_RUN,
    );
    expect(target.executionCount).toBe(2);
    expect(target.connectionCount).toBe(kind === "call" ? 2 : 1);
  });

  test("the verdict is not run if no connection was established", async () => {
    target.setScripts({ executeAtFraction: 0.001 });
    await target.close();
    expect(verdictOf(await send(url, http, withLongDeadline()))).toBe(
      "not-run",
    );
    for (const options of optionsWithoutConnection()) {
      const client = new HttpClient(options);
      const outcome = await send(
        "http://target.invalid",
        client,
        withShortDeadline(),
      );
      client.dispose();
      expect(verdictOf(outcome)).toBe("not-run");
    }
    expect(target.executionCount).toBe(0);
  });

  test("the verdict is not run while a request waits for a free connection", async () => {
    const single = new HttpClient({ maxSockets: 1 });
    target.setScripts({ executeAtFraction: 0.001 });
    const disconnect = new AbortController();
    const first = send(url, single, {
      ...withLongDeadline(),
      signal: disconnect.signal,
    });
    const second = await send(url, single, withShortDeadline());
    expect(verdictOf(second)).toBe("not-run");
    disconnect.abort();
    expect(verdictOf(await first)).toBe(MAY_HAVE_RUN);
    single.dispose();
    await target.closeConnections();
    expect(target.executionCount).toBe(1);
  });

  test("the verdict is not run if cancelled or past the deadline before sending", async () => {
    target.setScripts({ executeAtFraction: 0.001 });
    const signal = AbortSignal.abort();
    const cancelled = await send(url, http, { ...withLongDeadline(), signal });
    const late = await send(url, http, { deadlineMs: systemClock.nowMs() });
    expect([verdictOf(cancelled), verdictOf(late)])
      .toEqual(["not-run", "not-run"]);
    expect(target.executionCount).toBe(0);
  });
});

/** Sends a request whose deadline passes once the target has read all of it. */
async function sendPastDeadline(send: Send): Promise<Outcome<unknown>> {
  let expire = () => {};
  const clock: Clock = {
    ...systemClock,
    nowMs: () => 0,
    sleep: () => new Promise((resolve) => expire = resolve),
  };
  const client = new HttpClient({ clock });
  const sent = send(url, client, { deadlineMs: 1 });
  while (target.completeCount === 0) await waitTurns(1);
  expire();
  const outcome = await sent;
  client.dispose();
  return outcome;
}

/** Options with which the DNS lookup fails or never completes. */
function optionsWithoutConnection(): HttpClientOptions[] {
  const failLookup = (_name: string, _options: unknown, done: unknown) => {
    const report = done as (error: Error) => void;
    report(new Error("host name not found"));
  };
  return [failLookup, () => {}].map((dnsLookup) => ({
    got: got.extend({ dnsLookup: dnsLookup as never }),
  }));
}

interface FuzzRun {
  readonly kind: string;
  readonly isKept: boolean;
  readonly bodyBytes: number;
  readonly script: RawScript;
  /** Turns of the event loop after which the caller disconnects. */
  readonly disconnectAfterTurns: number | undefined;
}

const position = fc.double({ min: 0.0001, max: 1, noNaN: true });

const fuzzRun: fc.Arbitrary<FuzzRun> = fc.record({
  kind: fc.constantFrom(...Object.keys(SENDS)),
  isKept: fc.boolean(),
  bodyBytes: fc.constantFrom(0, 10, 20_000, 1_000_000),
  script: fc.record({
    executeAtFraction: fc.option(position, { nil: undefined }),
    cutAtFraction: fc.option(fc.oneof(fc.constant(0), position), {
      nil: undefined,
    }),
    cutAnswerAtByte: fc.option(fc.nat(400), { nil: undefined }),
  }),
  disconnectAfterTurns: fc.option(fc.nat(12), { nil: undefined }),
});

/** Plays one random run; true if `verdictFor` gives a correct verdict. */
async function verdictHolds(
  run: FuzzRun,
  verdictFor: (outcome: Outcome<unknown>) => Verdict,
): Promise<boolean> {
  const answer = formatResponse(200, COMPLETE_BODY[run.kind]);
  const client = new HttpClient();
  const send = SENDS[run.kind];
  if (run.isKept) {
    target.setScripts({ answer });
    await send(url, client, { ...withLongDeadline(), bodyBytes: 1 });
  }
  target.setScripts({ ...run.script, answer });
  const disconnect = new AbortController();
  const sent = send(url, client, {
    ...withLongDeadline(),
    bodyBytes: run.bodyBytes,
    signal: disconnect.signal,
  });
  if (run.disconnectAfterTurns !== undefined) {
    await waitTurns(run.disconnectAfterTurns);
    disconnect.abort();
  }
  const outcome = await sent;
  client.dispose();
  await waitTurns(2);
  await target.closeConnections();
  if (target.executionCount > 1) return false;
  const verdict = verdictFor(outcome);
  return verdict !== "not-run" || target.executionCount === 0;
}

async function waitTurns(count: number): Promise<void> {
  for (let turn = 0; turn < count; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

test(`a not-run verdict is correct at random points of failure, seed ${SEED}`, async () => {
  const property = fc.asyncProperty(
    fuzzRun,
    (run) => verdictHolds(run, verdictOf),
  );
  await fc.assert(property, { seed: SEED, numRuns: 400 });
});

test("the check detects a client that reports broken connections as not run", async () => {
  const property = fc.asyncProperty(
    fuzzRun,
    (run) => verdictHolds(run, naiveVerdictOf),
  );
  const details = await fc.check(property, { seed: SEED, numRuns: 400 });
  expect(details.failed).toBe(true);
});

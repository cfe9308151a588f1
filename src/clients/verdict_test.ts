/**
 * The promise that a request called not run did not run, checked over real
 * sockets against what the far side executed.
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

const soon = () => ({ deadlineMs: systemClock.nowMs() + 10_000 });
const impatient = () => ({ deadlineMs: systemClock.nowMs() + 100 });

/** What a client would say that takes a broken connection for not run. */
function plainVerdictOf(outcome: Outcome<unknown>): Verdict {
  const isBroken = outcome.isErr() &&
    (outcome.error.code === "connection-failed" ||
      outcome.error.code === "deadline-exceeded");
  return isBroken ? "not-run" : verdictOf(outcome);
}

interface BrokenCase {
  readonly name: string;
  readonly script: RawScript;
  readonly expected: Verdict;
  /** For `call` where it differs: a service's own answer is passed on. */
  readonly expectedOfCall?: Verdict;
  readonly isFrozen?: boolean;
}

const WHOLE = { actAt: 1 };
const MAY = "may-have-run";

const CASES: readonly BrokenCase[] = [
  { name: "cut when accepted", script: { cutAtFraction: 0 }, expected: MAY },
  {
    name: "cut after the head, acted on it",
    script: { executeAtFraction: 0.001, cutAtFraction: 0.001 },
    expected: MAY,
  },
  {
    name: "cut in half of the body, acted",
    script: { executeAtFraction: 0.5, cutAtFraction: 0.5 },
    expected: MAY,
  },
  {
    name: "cut in half of the body, not acted",
    script: { cutAtFraction: 0.5 },
    expected: MAY,
  },
  {
    name: "cut after the body, before the act",
    script: { cutAtFraction: 1 },
    expected: MAY,
  },
  {
    name: "answer lost after the act",
    script: { executeAtFraction: 1, cutAtFraction: 1 },
    expected: MAY,
  },
  {
    name: "cut in the head of the answer",
    script: {
      ...WHOLE,
      answer: formatResponse(200, "{}"),
      cutAnswerAtByte: 10,
    },
    expected: MAY,
  },
  {
    name: "cut in the body of the answer",
    script: {
      ...WHOLE,
      answer: formatResponse(200, "x".repeat(100)),
      cutAnswerAtByte: 80,
    },
    expected: MAY,
  },
  {
    name: "answer that only the connection's end would end",
    script: {
      ...WHOLE,
      answer: "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{}",
      closesAfterAnswer: true,
    },
    expected: MAY,
  },
  {
    name: "answer that is not HTTP",
    script: { ...WHOLE, answer: "hello\r\n\r\n" },
    expected: MAY,
  },
  {
    name: "frozen after the act",
    script: WHOLE,
    expected: MAY,
    isFrozen: true,
  },
  { name: "frozen before the act", script: {}, expected: MAY, isFrozen: true },
  {
    name: "redirected",
    script: {
      ...WHOLE,
      answer: formatResponse(307, "", "location: /other\r\n"),
    },
    expected: MAY,
    expectedOfCall: "complete",
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
    expectedOfCall: "complete",
  },
  {
    name: "429 rate-limited",
    script: { answer: formatErrorResponse(429, "rate-limited") },
    expected: "not-run",
    expectedOfCall: "complete",
  },
  ...[503, 409, 429, 500, 502].flatMap((status): BrokenCase[] =>
    [undefined, "constructor", "some-other-word"].map((error) => ({
      name: `${status} with ${error ?? "no error word"}, acted`,
      script: { ...WHOLE, answer: formatErrorResponse(status, error) },
      expected: MAY,
      expectedOfCall: "complete",
    }))
  ),
];

describe.each(Object.keys(SENDS))("%s", (kind) => {
  const send = SENDS[kind];

  test.each([...CASES])("$name", async (broken) => {
    target.setScripts(broken.script);
    const outcome = broken.isFrozen
      ? await sendPastDeadline(send)
      : await send(url, http, soon());
    const verdict = verdictOf(outcome);
    await target.closeConnections();
    const expected = kind === "call"
      ? broken.expectedOfCall ?? broken.expected
      : broken.expected;
    expect(verdict).toBe(expected);
    if (verdict === "not-run") expect(target.executionCount).toBe(0);
    expect(target.executionCount).toBeLessThanOrEqual(1);
  });

  test("a kept connection that the target closes may have run", async () => {
    const answer = formatResponse(200, COMPLETE_BODY[kind]);
    target.setScripts({ ...WHOLE, answer }, {
      executeAtFraction: 0.001,
      cutAtFraction: 0.001,
    });
    expect(verdictOf(await send(url, http, soon()))).toBe("complete");
    expect(verdictOf(await send(url, http, soon()))).toBe(MAY);
    expect(target.executionCount).toBe(2);
    expect(target.connectionCount).toBe(kind === "call" ? 2 : 1);
  });

  test("nothing ran when no connection came about", async () => {
    target.setScripts({ executeAtFraction: 0.001 });
    await target.close();
    expect(verdictOf(await send(url, http, soon()))).toBe("not-run");
    for (const options of unconnected()) {
      const client = new HttpClient(options);
      const outcome = await send("http://target.invalid", client, impatient());
      client.dispose();
      expect(verdictOf(outcome)).toBe("not-run");
    }
    expect(target.executionCount).toBe(0);
  });

  test("nothing ran while waiting for a free connection", async () => {
    const single = new HttpClient({ maxSockets: 1 });
    target.setScripts({ executeAtFraction: 0.001 });
    const hangUp = new AbortController();
    const first = send(url, single, { ...soon(), signal: hangUp.signal });
    const second = await send(url, single, impatient());
    expect(verdictOf(second)).toBe("not-run");
    hangUp.abort();
    expect(verdictOf(await first)).toBe(MAY);
    single.dispose();
    await target.closeConnections();
    expect(target.executionCount).toBe(1);
  });

  test("nothing ran when cancelled or late before sending", async () => {
    target.setScripts({ executeAtFraction: 0.001 });
    const signal = AbortSignal.abort();
    const cancelled = await send(url, http, { ...soon(), signal });
    const late = await send(url, http, { deadlineMs: systemClock.nowMs() });
    expect([verdictOf(cancelled), verdictOf(late)])
      .toEqual(["not-run", "not-run"]);
    expect(target.executionCount).toBe(0);
  });
});

/** Sends a request whose deadline passes once the target has read it whole. */
async function sendPastDeadline(send: Send): Promise<Outcome<unknown>> {
  let pass = () => {};
  const clock: Clock = {
    ...systemClock,
    nowMs: () => 0,
    sleep: () => new Promise((resolve) => pass = resolve),
  };
  const client = new HttpClient({ clock });
  const sent = send(url, client, { deadlineMs: 1 });
  while (target.completeCount === 0) await turns(1);
  pass();
  const outcome = await sent;
  client.dispose();
  return outcome;
}

/** Options under which a name is refused, or never looked up. */
function unconnected(): HttpClientOptions[] {
  const refuse = (_name: string, _options: unknown, done: unknown) => {
    const report = done as (error: Error) => void;
    report(new Error("no such name"));
  };
  return [refuse, () => {}].map((dnsLookup) => ({
    got: got.extend({ dnsLookup: dnsLookup as never }),
  }));
}

interface FuzzRun {
  readonly kind: string;
  readonly isKept: boolean;
  readonly bodyBytes: number;
  readonly script: RawScript;
  /** Turns of the event loop after which the caller hangs up. */
  readonly hangUpAfterTurns: number | undefined;
}

const place = fc.double({ min: 0.0001, max: 1, noNaN: true });

const fuzzRun: fc.Arbitrary<FuzzRun> = fc.record({
  kind: fc.constantFrom(...Object.keys(SENDS)),
  isKept: fc.boolean(),
  bodyBytes: fc.constantFrom(0, 10, 20_000, 1_000_000),
  script: fc.record({
    actAt: fc.option(place, { nil: undefined }),
    cutAt: fc.option(fc.oneof(fc.constant(0), place), { nil: undefined }),
    cutAnswerAtByte: fc.option(fc.nat(400), { nil: undefined }),
  }),
  hangUpAfterTurns: fc.option(fc.nat(12), { nil: undefined }),
});

/** Plays one random run; true when the verdict given holds. */
async function holds(
  run: FuzzRun,
  verdictGiven: (outcome: Outcome<unknown>) => Verdict,
): Promise<boolean> {
  const answer = formatResponse(200, COMPLETE_BODY[run.kind]);
  const client = new HttpClient();
  const send = SENDS[run.kind];
  if (run.isKept) {
    target.setScripts({ answer });
    await send(url, client, { ...soon(), bodyBytes: 1 });
  }
  target.setScripts({ ...run.script, answer });
  const hangUp = new AbortController();
  const sent = send(url, client, {
    ...soon(),
    bodyBytes: run.bodyBytes,
    signal: hangUp.signal,
  });
  if (run.hangUpAfterTurns !== undefined) {
    await turns(run.hangUpAfterTurns);
    hangUp.abort();
  }
  const outcome = await sent;
  client.dispose();
  await turns(2);
  await target.closeConnections();
  if (target.executionCount > 1) return false;
  const verdict = verdictGiven(outcome);
  return verdict !== "not-run" || target.executionCount === 0;
}

async function turns(count: number): Promise<void> {
  for (let turn = 0; turn < count; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

test(`a not-run holds at random cut points, seed ${SEED}`, async () => {
  const property = fc.asyncProperty(fuzzRun, (run) => holds(run, verdictOf));
  await fc.assert(property, { seed: SEED, numRuns: 400 });
});

test("the check catches a client that takes a broken connection for not run", async () => {
  const property = fc.asyncProperty(
    fuzzRun,
    (run) => holds(run, plainVerdictOf),
  );
  const details = await fc.check(property, { seed: SEED, numRuns: 400 });
  expect(details.failed).toBe(true);
});

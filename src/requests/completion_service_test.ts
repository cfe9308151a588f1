import { Ok } from "ts-results-es";
import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import {
  expectedText,
  type PlannedFault,
  TestEngines,
  TestPicker,
} from "../../test/requests_engines.ts";
import { seededRandom } from "../common/random.ts";
import { configSchema } from "../config/schema.ts";
import type { IConfigService } from "../config/services.ts";
import { CompletionService } from "./completion_service.ts";
import { RequestJournal } from "./request_journal.ts";
import type { AnswerToken } from "./types.ts";

const SPANS = [{ first: 0, end: 4 }, { first: 4, end: 8 }, {
  first: 8,
  end: 12,
}];
const LENGTH = 12;

const CONFIG = configSchema.parse({
  customers: {
    ferias: { keyDigests: [], requestsPerS: 1, concurrentRequests: 1 },
  },
  pipelines: {
    escriba: {
      model: "m",
      version: "v1",
      layerCount: 12,
      customers: ["ferias"],
      stages: [{ first: 0, end: 12, targets: ["a"] }],
    },
  },
});

function setUp(options: { seed?: number; faults?: PlannedFault[] } = {}) {
  const clock = new ManualClock();
  const random = seededRandom(options.seed ?? 1);
  const engines = new TestEngines({
    clock,
    length: LENGTH,
    faults: options.faults,
  });
  for (const [at, span] of SPANS.entries()) {
    for (const replica of ["a", "b", "c"]) engines.add(`${replica}${at}`, span);
  }
  const picker = new TestPicker({ engines, random, spans: SPANS });
  let nextId = 0;
  const config = {
    state: { version: 1, offset: 0, config: CONFIG },
  } as IConfigService;
  const service = new CompletionService({
    clock,
    config,
    picker,
    engines,
    journal: new RequestJournal({ clock }),
    quarantine: { admit: () => Ok.EMPTY, strike: () => Promise.resolve() },
    newId: () => `attempt-${nextId++}`,
  });
  const released: AnswerToken[] = [];
  const complete = (pipeline = "escriba", customer = "ferias") =>
    clock.runUntil(service.complete({
      requestId: "r",
      customer,
      pipeline,
      prompt: "p",
      maxTokens: 64,
      deadlineMs: clock.nowMs() + 20_000,
      signal: new AbortController().signal,
    }, (tokens) => released.push(...tokens)));
  return { clock, engines, picker, released, complete };
}

test("an unbroken answer comes back whole from one attempt", async () => {
  const { complete, released, picker } = setUp();
  const outcome = await complete();
  expect(outcome.unwrap()).toEqual({
    tokenCount: LENGTH,
    reason: "stop",
    attemptCount: 1,
  });
  expect(released.map((token) => token.text)).toEqual(
    released.map((_, index) => expectedText("p", index)),
  );
  expect(picker.openPicks).toBe(0);
});

test("unknown pipelines and customers without access are refused", async () => {
  const { complete } = setUp();
  const unknown = (await complete("none")).unwrapErr();
  expect(unknown).toMatchObject({ verdict: "not-run", code: "not-found" });
  const foreign = (await complete("escriba", "atlas")).unwrapErr();
  expect(foreign).toMatchObject({ verdict: "not-run", code: "forbidden" });
});

test("an answer whose stage is killed is whole all the same", async () => {
  const { complete, released } = setUp({
    faults: [{ fault: "kill", atIndex: 5, stage: 1 }],
  });
  const outcome = await complete();
  expect(outcome.unwrap()).toMatchObject({
    tokenCount: LENGTH,
    attemptCount: 2,
  });
  expect(released.map((token) => token.index)).toEqual(
    Array.from({ length: LENGTH }, (_, index) => index),
  );
});

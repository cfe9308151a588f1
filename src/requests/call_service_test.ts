import { Err, Ok } from "ts-results-es";
import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { serviceConfig } from "../../test/requests_calls.ts";
import { seededRandom } from "../common/random.ts";
import {
  type Failure,
  mayHaveRun,
  notRun,
  type Outcome,
} from "../common/verdict.ts";
import type { ITargetDirectory } from "../pipelines/services.ts";
import type { ServiceResponse } from "../clients/types.ts";
import { CallService } from "./call_service.ts";
import { RequestJournal } from "./request_journal.ts";
import { RetryBudget } from "./retry_budget.ts";
import type { IClaim, IClaimService } from "./services.ts";
import type { CallRequest } from "./types.ts";

type Reply = "ok" | "refused" | "broken" | "unresponsive";
const REPLIES: Record<Reply, () => Promise<Outcome<ServiceResponse>>> = {
  ok: () => Promise.resolve(new Ok({ status: 200, body: new Uint8Array() })),
  refused: () => Promise.resolve(notRun("connection-failed", "refused")),
  broken: () =>
    Promise.resolve(
      mayHaveRun("connection-failed", "http://desk-1 broken", {
        target: "desk-1",
      }),
    ),
  unresponsive: () => new Promise(() => {}),
};

interface CallScenario {
  readonly replies: readonly Reply[];
  readonly idempotent?: boolean;
  readonly key?: string;
  readonly claim?: Failure;
  readonly rejectsRepeatedKeys?: boolean;
  readonly retryBudget?: RetryBudget;
  readonly closed?: readonly string[];
}

const LOG_DOWN = notRun("log-unavailable", "down").error;

function setUp(setting: CallScenario) {
  const clock = new ManualClock();
  const urls: string[] = [];
  const ended: string[] = [];
  const claim: IClaim = {
    claimId: "c",
    mayDispatch: () => true,
    release: () => void ended.push("release"),
    settle: (result) => void ended.push(result),
  };
  const claims: IClaimService = {
    acquire: () =>
      Promise.resolve(setting.claim ? new Err(setting.claim) : new Ok(claim)),
  };
  const closed = new Set(setting.closed);
  const service = new CallService({
    clock,
    config: serviceConfig({
      rejectsRepeatedKeys: setting.rejectsRepeatedKeys,
    }),
    directory: {
      acceptsNewWork: (target: string) => !closed.has(target),
    } as ITargetDirectory,
    services: {
      call: (url) => {
        urls.push(url);
        return REPLIES[setting.replies[urls.length - 1] ?? "ok"]();
      },
    },
    claims,
    journal: new RequestJournal({ clock }),
    random: seededRandom(1),
    retryBudget: setting.retryBudget,
  });
  const request: CallRequest = {
    requestId: "r",
    customer: "ferias",
    service: "mostrador",
    method: "POST",
    path: "/",
    body: new Uint8Array(),
    idempotencyKey: setting.key,
    idempotent: setting.idempotent ?? false,
    deadlineMs: clock.nowMs() + 1_000,
    signal: new AbortController().signal,
  };
  const call = (changes: Partial<CallRequest> = {}) =>
    clock.runUntil(service.call({ ...request, ...changes }));
  return { call, urls, ended };
}

test.each<[string, CallScenario, string, number, string[]]>([
  [
    "idempotent, connection broken",
    { replies: ["broken"], idempotent: true },
    "ok",
    2,
    [],
  ],
  [
    "idempotent, connection broken, then refused at every attempt",
    { replies: ["broken", "refused", "refused", "refused"], idempotent: true },
    "may-have-run connection-failed",
    4,
    [],
  ],
  [
    "idempotent, refused at every attempt",
    { replies: ["refused", "refused", "refused", "refused"], idempotent: true },
    "not-run connection-failed",
    4,
    [],
  ],
  ["no key, refused", { replies: ["refused"] }, "ok", 2, []],
  [
    "no key, connection broken",
    { replies: ["broken"] },
    "may-have-run connection-failed",
    1,
    [],
  ],
  ["key, refused", { replies: ["refused"], key: "k" }, "ok", 2, ["ran"]],
  [
    "key, connection broken",
    { replies: ["broken"], key: "k" },
    "may-have-run connection-failed",
    1,
    ["may-have-run"],
  ],
  [
    "key, refused at every attempt",
    { replies: ["refused", "refused", "refused", "refused"], key: "k" },
    "not-run connection-failed",
    4,
    ["release"],
  ],
  [
    "key, unresponsive target",
    { replies: ["unresponsive"], key: "k" },
    "may-have-run deadline-exceeded",
    1,
    ["may-have-run"],
  ],
  [
    "key, log down",
    { replies: [], key: "k", claim: LOG_DOWN },
    "not-run log-unavailable",
    0,
    [],
  ],
  [
    "key, log down, service rejects repeated keys",
    { replies: [], key: "k", claim: LOG_DOWN, rejectsRepeatedKeys: true },
    "ok",
    1,
    [],
  ],
  [
    "key, duplicate, service rejects repeated keys",
    {
      replies: [],
      key: "k",
      claim: mayHaveRun("already-ran", "ran").error,
      rejectsRepeatedKeys: true,
    },
    "may-have-run already-ran",
    0,
    [],
  ],
  [
    "idempotent, retry budget exhausted",
    {
      replies: ["refused"],
      idempotent: true,
      retryBudget: new RetryBudget({ burst: 0 }),
    },
    "not-run connection-failed",
    1,
    [],
  ],
  [
    "no target accepts new work",
    { replies: [], closed: ["desk-1", "desk-2", "desk-3"] },
    "not-run no-target",
    0,
    [],
  ],
])("%s", async (_, setting, result, attempts, ended) => {
  const bench = setUp(setting);
  const outcome = await bench.call();
  const shown = outcome.isOk()
    ? "ok"
    : `${outcome.error.verdict} ${outcome.error.code}`;
  expect(shown).toBe(result);
  expect(bench.urls).toHaveLength(attempts);
  expect(bench.ended).toEqual(ended);
});

test("a failure sent to the caller has a retry time but no target address", async () => {
  const outcome = await setUp({ replies: ["broken"] }).call();
  const { message, target, retryAtWallMs } = outcome.unwrapErr();
  expect(message).toBe("the connection to a target failed");
  expect(target).toBeUndefined();
  expect(retryAtWallMs).toBeGreaterThan(0);
});

test("targets that accept no new work are not called", async () => {
  const { call, urls } = setUp({
    replies: [],
    idempotent: true,
    closed: ["desk-2"],
  });
  for (let at = 0; at < 50; at += 1) await call();
  expect(new Set(urls)).toEqual(new Set(["http://desk-1", "http://desk-3"]));
});

test.each([
  [{ service: "none" }, "not-found"],
  [{ customer: "atlas" }, "forbidden"],
])("%j is refused", async (changes, code) => {
  const { call, urls } = setUp({ replies: [] });
  const outcome = await call(changes);
  expect(outcome.unwrapErr()).toMatchObject({ verdict: "not-run", code });
  expect(urls).toEqual([]);
});

test("retries are limited to a fraction of first attempts", () => {
  const budget = new RetryBudget({ burst: 10, retriesPerFirstAttempt: 0.2 });
  let retries = 0;
  for (let at = 0; at < 1_000; at += 1) {
    budget.recordFirstAttempt();
    while (budget.tryConsumeRetry()) retries += 1;
  }
  expect(retries).toBeLessThanOrEqual(10 + 0.2 * 1_000);
});

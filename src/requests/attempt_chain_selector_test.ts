import { Ok } from "ts-results-es";
import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { NO_QUARANTINE } from "../../test/requests_completions.ts";
import { type FailureCode, notRun } from "../common/verdict.ts";
import type { IChainPicker, PickRequest } from "../pipelines/services.ts";
import { AttemptChainSelector } from "./attempt_chain_selector.ts";
import type { CompletionRequest } from "./types.ts";

const FREE_AT_MS = 500;

/**
 * Two chains of one target each. The spare one can't be picked at first, or is
 * held by another suspect where `whyNot` is "quarantined".
 */
function selectorWithSpare(whyNot: FailureCode) {
  const clock = new ManualClock();
  const startMs = clock.nowMs();
  const pick = ({ avoid }: PickRequest) => {
    const isFree = clock.nowMs() - startMs >= FREE_AT_MS;
    const isHeld = whyNot === "quarantined";
    if (avoid.has("failed") && !isFree && !isHeld) {
      return notRun(whyNot, "not now");
    }
    if (avoid.has("failed") && avoid.has("spare")) {
      return notRun("no-target", "all avoided");
    }
    const target = avoid.has("failed") ? "spare" : "failed";
    const stage = { target, url: "", first: 0, end: 1, generation: 1 };
    return new Ok({
      chain: [stage],
      model: "m",
      version: "v",
      dispose: () => {},
    });
  };
  const chooser = new AttemptChainSelector({
    clock,
    picker: { pick } as unknown as IChainPicker,
    quarantine: {
      ...NO_QUARANTINE,
      isolate: (_fingerprint, { targets }) => {
        const isHeld = whyNot === "quarantined" && targets[0] === "spare" &&
          clock.nowMs() - startMs < FREE_AT_MS;
        return Promise.resolve(
          isHeld ? { kind: "busy", targets } : { kind: "unsuspected" },
        );
      },
    },
    request: {
      pipeline: "p",
      prompt: "",
      deadlineMs: clock.nowMs() + 5_000,
      signal: new AbortController().signal,
    } as unknown as CompletionRequest,
    fingerprint: "",
    policy: {
      chainWaitTimeoutMs: 2_000,
      repickIntervalMs: 50,
      lockRetryIntervalMs: 10,
    },
  });
  chooser.avoid.add("failed");
  const choose = async (hasBegun: boolean) => {
    const chosen = await clock.runUntil(chooser.select(hasBegun));
    return chosen.map(({ pick }) => pick.chain[0].target);
  };
  return { choose, elapsedMs: () => clock.nowMs() - startMs };
}

test("an answer that has begun waits for room rather than go back to what failed it", async () => {
  const { choose, elapsedMs } = selectorWithSpare("overloaded");
  expect((await choose(true)).unwrap()).toBe("spare");
  expect(elapsedMs()).toBeGreaterThanOrEqual(FREE_AT_MS);
});

test("a chain that another suspect holds is waited for rather than go back to what failed", async () => {
  const { choose, elapsedMs } = selectorWithSpare("quarantined");
  expect((await choose(true)).unwrap()).toBe("spare");
  expect(elapsedMs()).toBeGreaterThanOrEqual(FREE_AT_MS);
});

test("an answer that has not begun is told of the overload", async () => {
  const { choose } = selectorWithSpare("overloaded");
  expect((await choose(false)).unwrapErr().code).toBe("overloaded");
});

test("what failed a request is tried again where there is no other chain", async () => {
  const { choose, elapsedMs } = selectorWithSpare("no-target");
  expect((await choose(true)).unwrap()).toBe("failed");
  expect(elapsedMs()).toBe(0);
});

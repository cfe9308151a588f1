import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import type { Failure, FailureCode } from "../common/verdict.ts";
import { failureForCaller } from "./caller_failure.ts";

/** A Record, so that a code added later fails to compile until it is here. */
const CODES: Record<FailureCode, true> = {
  "bad-request": true,
  "unauthorized": true,
  "forbidden": true,
  "not-found": true,
  "stale-version": true,
  "body-too-large": true,
  "rate-limited": true,
  "overloaded": true,
  "deadline-exceeded": true,
  "no-target": true,
  "target-refused": true,
  "target-failed": true,
  "stale-generation": true,
  "connection-failed": true,
  "log-unavailable": true,
  "claim-held": true,
  "already-ran": true,
  "quarantined": true,
  "shutting-down": true,
  "cancelled": true,
  "bad-answer": true,
  "internal": true,
};
const RETRY_AT_WALL_MS = 12;

test.each([...Object.keys(CODES), "a-code-of-tomorrow"] as FailureCode[])(
  "%s tells a caller no name and no address of a target",
  (code) => {
    const failure: Failure = {
      verdict: "may-have-run",
      code,
      message: "no answer of desk-1 at http://desk-1.internal:80 in time",
      target: "desk-1",
      faults: [{ path: "/", message: "desk-1 says so" }],
      retryAtWallMs: RETRY_AT_WALL_MS,
    };
    const clock = new ManualClock();
    const shown = failureForCaller(failure, {
      clock,
      defaultRetryAfterMs: 1_000,
    });
    expect(JSON.stringify(shown)).not.toContain("desk-1");
    expect(shown).toEqual({
      verdict: "may-have-run",
      code,
      message: expect.stringMatching(/^[a-z' ]{10,}$/),
      retryAtWallMs: RETRY_AT_WALL_MS,
    });
  },
);

import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { retryUntil } from "./retry_until.ts";

test("tells equal failures in a row once, and resolves when they end", async () => {
  const clock = new ManualClock();
  const startMs = clock.nowMs();
  const failures: unknown[] = [];
  const errors = ["held", "held", "gone"];
  const result = retryUntil({
    clock,
    deadlineMs: Infinity,
    intervalMs: 100,
    attempt: () => {
      const message = errors.shift();
      if (message === undefined) return clock.nowMs() - startMs;
      throw new Error(message);
    },
    isTransient: () => true,
    onFailure: (error) => failures.push((error as Error).message),
  });
  await clock.advance(300);
  expect(await result).toBe(300);
  expect(failures).toEqual(["held", "gone"]);
});

test.each([["final", 2_000], ["transient", 1_050]])(
  "rejects with the last error: %s",
  async (message, deadlineMs) => {
    const clock = new ManualClock();
    let attempts = 0;
    const result = retryUntil({
      clock,
      deadlineMs,
      intervalMs: 100,
      attempt: () => {
        throw new Error(`${message} ${++attempts}`);
      },
      isTransient: (error) => String(error).includes("transient"),
    });
    const rejected = expect(result).rejects.toThrow(
      message === "final" ? "final 1" : "transient 2",
    );
    await clock.advance(200);
    await rejected;
  },
);

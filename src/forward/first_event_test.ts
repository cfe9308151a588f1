import { expect, test } from "vitest";
import { recordFirstEvent } from "./first_event.ts";

test("the error of the estimate is recorded once, with its direction", () => {
  const recorded: unknown[] = [];
  const metrics = { record: (...args: unknown[]) => void recorded.push(args) };
  let observedMs: number | undefined = 150;
  const path = {
    stages: [],
    firstEventMs: 200,
    msPerToken: 10,
    recordFirstEvent: () => {
      const value = observedMs;
      observedMs = undefined;
      return value;
    },
    release: () => {},
  };
  recordFirstEvent(path, metrics);
  recordFirstEvent(path, metrics);
  recordFirstEvent(undefined, metrics);
  expect(recorded).toEqual([
    ["jackdawshift_first_event_observed_ms", 150],
    ["jackdawshift_first_event_error_ms", 50, { estimate: "late" }],
  ]);
});

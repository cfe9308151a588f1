import { expect, test } from "vitest";
import { checkRequestLimits } from "./request_limits.ts";
import { BOUNDS } from "./settings.ts";
import type { History, Interval } from "./types.ts";

function check(
  countPerS: number,
  { hostFault, endedMs }: {
    readonly hostFault?: Interval;
    readonly endedMs?: number;
  } = {},
): string[] {
  const history = {
    limits: [{
      serverId: "plain-1",
      limitPerS: 2,
      startMs: 1_000,
      arrivedAtMs: Array.from(
        { length: countPerS * 10 },
        (_, index) => index * 1_000 / countPerS,
      ),
      endedAtMs: endedMs === undefined ? [] : [endedMs],
    }],
    hostFaults: hostFault === undefined ? [] : [{ ...hostFault, host: "h" }],
  };
  return checkRequestLimits(history as unknown as History, BOUNDS);
}

test("more than one and a half times a limit and five requests in four seconds are a violation", () => {
  expect(check(4)).toEqual([]);
  expect(check(6)).toHaveLength(1);
});

test("faults of hosts and ends of the server excuse the windows that they touch", () => {
  expect(check(6, { hostFault: { startMs: 9_000, endMs: 9_500 } }))
    .toHaveLength(1);
  expect(check(6, { hostFault: { startMs: 3_000, endMs: 4_000 } })).toEqual([]);
  expect(check(6, { endedMs: 3_500 })).toEqual([]);
});

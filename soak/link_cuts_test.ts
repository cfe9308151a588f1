import { expect, test } from "vitest";
import { checkLinkCuts, drawCut } from "./link_cuts.ts";
import { checkPauses, drawPause } from "./pauses.ts";
import { BOUNDS } from "./settings.ts";
import type { Attempt, History } from "./types.ts";

const CUT = { hosts: ["host-0"], startMs: 0, endMs: 6_000 };

/** Requests from the stable window on, in turn at a cut host and at another one. */
function attemptsWith(isServed: (host: string) => boolean): Attempt[] {
  return Array.from({ length: 60 }, (_, index) => {
    const host = `host-${index % 2}`;
    return {
      id: `${index}`,
      route: "briefs",
      key: "first",
      host,
      content: "a body",
      startMs: 3_500 + index,
      endMs: 4_000,
      status: isServed(host) ? 200 : 503,
      isWhole: true,
      isNotExecuted: false,
      hasDisconnected: false,
      echoedId: undefined,
      signature: undefined,
      body: "",
    };
  });
}

function historyWith(overrides: Partial<History>): History {
  return {
    attempts: [],
    hostFaults: [],
    linkCuts: [],
    pauses: [],
    ...overrides,
  } as unknown as History;
}

test("hosts that are cut off and serve less than the others are reported", () => {
  const attempts = attemptsWith((host) => host !== "host-0");
  const history = historyWith({ attempts, linkCuts: [CUT] });
  expect(checkLinkCuts(history, BOUNDS)).toHaveLength(1);
  const hostFaults = [{ host: "host-0", startMs: 100, endMs: 1_000 }];
  expect(checkLinkCuts({ ...history, hostFaults }, BOUNDS)).toEqual([]);
  const ofOther = [{ host: "host-1", startMs: 100, endMs: 1_000 }];
  expect(checkLinkCuts({ ...history, hostFaults: ofOther }, BOUNDS)).toEqual(
    [],
  );
});

test("hosts that are cut off and serve as much as the others are not reported", () => {
  for (const isServed of [true, false]) {
    const attempts = attemptsWith(() => isServed);
    const history = historyWith({ attempts, linkCuts: [CUT] });
    expect(checkLinkCuts(history, BOUNDS)).toEqual([]);
  }
});

test("more than two requests in a pause are reported, unless the host had a fault", () => {
  const pause = {
    serverId: "plain-1",
    host: "host-0",
    atMs: 1_000,
    endMs: 4_000,
    arrivedAtMs: [900, 1_000, 1_400, 1_600, 2_000, 3_000, 4_100],
  };
  const history = historyWith({ pauses: [pause] });
  expect(checkPauses(history, BOUNDS)).toHaveLength(1);
  const hostFaults = [{ host: "host-0", startMs: 0, endMs: 1_200 }];
  expect(checkPauses({ ...history, hostFaults }, BOUNDS)).toEqual([]);
  const few = { ...pause, arrivedAtMs: [1_400, 1_600, 2_000] };
  expect(checkPauses(historyWith({ pauses: [few] }), BOUNDS)).toEqual([]);
});

test("seeds draw different hosts and servers", () => {
  const seeds = Array.from({ length: 40 }, (_, seed) => seed);
  const counts = seeds.map((seed) => drawCut(seed, 4).hosts.length);
  expect(new Set(counts)).toEqual(new Set([1, 2, 3, 4]));
  const indices = seeds.map((seed) => drawPause(seed, 15).index);
  expect(new Set(indices).size).toBeGreaterThan(8);
});

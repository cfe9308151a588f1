import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { StopAdmission, type StoppableRequest } from "./stop_admission.ts";

const STEP_MS = 10;
const ROUTES = {
  call: { retryPolicy: "non-idempotent", isResumable: false },
  stream: { retryPolicy: "stream", isResumable: false },
  resumable: { retryPolicy: "stream", isResumable: true },
} as const;

function requestOf(
  kind: keyof typeof ROUTES,
  deadlineMs = Infinity,
): StoppableRequest {
  const route = { ...ROUTES[kind], name: kind, firstByteGoalMs: 500 };
  return { route, deadlineMs };
}

function admissionAfter(
  clock: ManualClock,
  runs: Partial<Record<keyof typeof ROUTES, readonly number[]>>,
): StopAdmission {
  const admission = new StopAdmission({ clock });
  for (const [route, durationsMs] of Object.entries(runs)) {
    for (const one of durationsMs) admission.recordRun(route, one);
  }
  return admission;
}

/** Time from the stop to the last request that is accepted; -1 if none is. */
async function lastAcceptedMs(
  graceMs: number,
  kind: keyof typeof ROUTES,
  runs: readonly number[],
): Promise<number> {
  const clock = new ManualClock();
  const admission = admissionAfter(clock, { [kind]: runs });
  const startedMs = clock.nowMs();
  const { cancelMs } = admission.begin(graceMs);
  let lastMs = -1;
  for (; clock.nowMs() < cancelMs; await clock.advance(STEP_MS)) {
    const isAccepted = admission.accepts(requestOf(kind));
    if (isAccepted) lastMs = clock.nowMs() - startedMs;
  }
  return lastMs;
}

test.each([
  // grace, calls of 20 ms and 1.2 s, streams of 1 s and 4 s
  [2_000, 1_570, 320, 540, -1],
  [3_000, 2_420, 1_170, 1_390, -1],
  [5_000, 4_120, 2_600, 2_600, -1],
  [8_000, 6_970, 2_600, 2_600, 2_600],
  [30_000, 28_970, 2_600, 2_600, 2_600],
])(
  "with a grace of %d ms, a request is accepted while it can end",
  async (graceMs, call, longCall, stream, longStream) => {
    expect([
      await lastAcceptedMs(graceMs, "call", [20]),
      await lastAcceptedMs(graceMs, "call", [1_200]),
      await lastAcceptedMs(graceMs, "stream", [1_000]),
      await lastAcceptedMs(graceMs, "stream", [4_000]),
    ]).toEqual([call, longCall, stream, longStream]);
  },
);

test("what still runs is cancelled in the last sixth of the grace", () => {
  for (const graceMs of [1_000, 2_000, 3_000, 5_000]) {
    const clock = new ManualClock();
    const startedMs = clock.nowMs();
    const { cancelMs } = new StopAdmission({ clock }).begin(graceMs);
    expect(cancelMs - startedMs).toBeGreaterThan(graceMs * 5 / 6);
    expect(cancelMs - startedMs).toBeLessThan(graceMs - 100);
  }
});

test("one long stream in fifty counts where a stream may not be repeated", async () => {
  const runs = [...Array(49).fill(500), 2_000];
  expect(await lastAcceptedMs(3_000, "stream", runs)).toBeLessThan(600);
  expect(await lastAcceptedMs(3_000, "resumable", runs))
    .toBeGreaterThan(1_900);
});

test("a request that times out before the host ends is accepted", async () => {
  const clock = new ManualClock();
  const admission = admissionAfter(clock, { call: [9_000] });
  admission.begin(3_000);
  await clock.advance(2_000);
  const inTime = requestOf("call", clock.nowMs() + 400);
  expect(admission.accepts(inTime)).toBe(true);
  expect(admission.latestStartMs(inTime)).toBe(Infinity);
  expect(admission.accepts(requestOf("call", clock.nowMs() + 900))).toBe(false);
});

test("a route without a request yet is judged by the grace and its goal", async () => {
  expect(await lastAcceptedMs(3_000, "stream", [])).toBe(950);
  expect(await lastAcceptedMs(8_000, "stream", [])).toBe(2_600);
  expect(await lastAcceptedMs(3_000, "call", [])).toBe(1_450);
});

test("a host that does not stop accepts everything", () => {
  const admission = admissionAfter(new ManualClock(), { call: [90_000] });
  expect(admission.accepts(requestOf("call"))).toBe(true);
  expect(admission.latestStartMs(requestOf("call"))).toBe(Infinity);
});

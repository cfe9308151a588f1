import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { StartupGate } from "./startup_gate.ts";

/** Requests that arrive now, with the times at which they pass. */
function arrivals(gate: StartupGate, clock: ManualClock) {
  const passedMs: number[] = [];
  const arrive = (
    { waitMs, signal = new AbortController().signal }: {
      readonly waitMs?: number;
      readonly signal?: AbortSignal;
    } = {},
  ): void =>
    void gate.pass({ waitMs, signal }).then(() => passedMs.push(clock.nowMs()));
  return { arrive, passedMs };
}

test("requests that arrive at a starting host pass when its configuration is confirmed", async () => {
  const clock = new ManualClock();
  const gate = new StartupGate({ clock, eras: { isSettled: true } });
  const { arrive, passedMs } = arrivals(gate, clock);
  const startMs = clock.nowMs();
  for (let i = 0; i < 3; i++) arrive({ waitMs: 20_000 });
  await clock.advance(300);
  expect(passedMs).toEqual([]);
  gate.open();
  await clock.advance(0);
  expect(passedMs).toEqual(Array(3).fill(startMs + 300));
  arrive();
  await clock.advance(0);
  expect(passedMs).toHaveLength(4);
});

test("without a configuration, requests are held for a second or a third of their time", async () => {
  const clock = new ManualClock();
  const gate = new StartupGate({ clock, eras: { isSettled: true } });
  const { arrive, passedMs } = arrivals(gate, clock);
  const startMs = clock.nowMs();
  arrive({ waitMs: 20_000 });
  arrive({ waitMs: 1_200 });
  await clock.advance(3_000);
  expect(passedMs).toEqual([startMs + 400, startMs + 1_000]);
});

test("a host that has no configuration 1.5 s after its start refuses at once", async () => {
  const clock = new ManualClock();
  const gate = new StartupGate({ clock, eras: { isSettled: true } });
  const { arrive, passedMs } = arrivals(gate, clock);
  await clock.advance(1_400);
  const nowMs = clock.nowMs();
  arrive({ waitMs: 20_000 });
  await clock.advance(100);
  arrive({ waitMs: 20_000 });
  await clock.advance(0);
  expect(passedMs).toEqual([nowMs + 100, nowMs + 100]);
});

test("while the store may lack records, requests are refused at once", async () => {
  const clock = new ManualClock();
  const gate = new StartupGate({ clock, eras: { isSettled: false } });
  const { arrive, passedMs } = arrivals(gate, clock);
  arrive({ waitMs: 20_000 });
  await clock.advance(0);
  expect(passedMs).toHaveLength(1);
});

test("a caller that disconnects, and one too many, is not held", async () => {
  const clock = new ManualClock();
  const gate = new StartupGate({ clock, eras: { isSettled: true } });
  const { arrive, passedMs } = arrivals(gate, clock);
  const caller = new AbortController();
  arrive({ signal: caller.signal });
  for (let i = 0; i < 199; i++) arrive();
  caller.abort();
  await clock.advance(0);
  expect(passedMs).toHaveLength(1);
  arrive();
  arrive();
  await clock.advance(0);
  expect(passedMs).toHaveLength(2);
});

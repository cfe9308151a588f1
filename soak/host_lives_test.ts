import { expect, test } from "vitest";
import { checkLives } from "./host_lives.ts";
import { BOUNDS } from "./settings.ts";
import type { History, HostLife, ProcessEnd } from "./types.ts";

const HISTORY = { linkCuts: [], storeFaults: [], untilMs: 60_000 };

const life = (overrides: Partial<HostLife> = {}): HostLife => ({
  host: "host-0",
  startMs: 1_000,
  signals: [],
  readyMs: 2_000,
  end: undefined,
  samples: [],
  ...overrides,
});

const ended = (overrides: Partial<ProcessEnd> = {}): ProcessEnd => ({
  atMs: 20_000,
  code: 0,
  signal: null,
  lastLines: ["last words"],
  ...overrides,
});

function violations(
  overrides: Partial<HostLife>,
  history: Partial<History> = {},
): string[] {
  const lives = [life(overrides)];
  return checkLives({ ...HISTORY, ...history, lives }, BOUNDS);
}

const term = { name: "SIGTERM", atMs: 15_000 } as const;
const kill = { name: "SIGKILL", atMs: 15_000 } as const;
const killed = ended({ code: null, signal: "SIGKILL" });

test.each<[string, Partial<HostLife>, Partial<History>]>([
  ["still runs", {}, {}],
  ["was killed", { signals: [kill], end: killed }, {}],
  ["ended in its grace", { signals: [term], end: ended() }, {}],
  ["was paused in its grace", {
    signals: [
      term,
      { name: "SIGSTOP", atMs: 16_000 },
      { name: "SIGCONT", atMs: 19_000 },
    ],
    end: ended({ atMs: 25_000 }),
  }, {}],
  ["became ready after an outage of the store", { readyMs: 20_000 }, {
    storeFaults: [{ startMs: 2_000, endMs: 12_000 }],
  }],
  ["was ended by a signal while its runtime was starting", {
    readyMs: undefined,
    signals: [{ name: "SIGHUP", atMs: 1_040, isBeforeProgram: true }],
    end: ended({ atMs: 1_045, code: null, signal: "SIGHUP" }),
  }, {}],
  ["was killed before it was ready", {
    readyMs: undefined,
    signals: [{ ...kill, atMs: 3_000 }],
    end: { ...killed, atMs: 3_000 },
  }, {}],
])("a process that %s is no violation", (_name, overrides, history) => {
  expect(violations(overrides, history)).toEqual([]);
});

test.each<[string, Partial<HostLife>, string]>([
  ["ends by itself", { end: ended({ code: 2 }) }, "ended 19000 ms after its"],
  ["ends by itself with code 0", { end: ended() }, "last words"],
  ["is ended by a signal that asks for something else", {
    signals: [{ name: "SIGHUP", atMs: 1_100 }],
    end: ended({ atMs: 1_110, code: null, signal: "SIGHUP" }),
  }, "with SIGHUP, after SIGHUP at 100 ms"],
  ["ends with another code after SIGTERM", {
    signals: [term],
    end: ended({ code: 1 }),
  }, "with code 1"],
  ["is killed by others", { signals: [term], end: killed }, "with SIGKILL"],
  ["ends later than its grace", {
    signals: [term],
    end: ended({ atMs: 24_000 }),
  }, "ended 9000 ms after SIGTERM"],
  ["is killed at the end of its grace", {
    signals: [term, { ...kill, atMs: 24_000 }],
    end: { ...killed, atMs: 24_000 },
  }, "ended 9000 ms after SIGTERM"],
  ["outlives its grace", { signals: [term] }, "still runs 45000 ms"],
  ["becomes ready too late", { readyMs: 14_000 }, "ready 13000 ms"],
  ["never becomes ready", { readyMs: undefined }, "not ready 59000 ms"],
])("a process that %s is a violation", (_name, overrides, expected) => {
  const found = violations(overrides);
  expect(found).toHaveLength(1);
  expect(found[0]).toContain(expected);
});

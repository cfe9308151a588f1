import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import type { HostSettings } from "../ports/types.ts";
import { LiveSettings } from "./live_settings.ts";

const LOCAL = { ip: "127.0.0.1", port: 1 };
const SETTINGS: HostSettings = {
  hostId: "host-1",
  domain: "a",
  ip: "127.0.0.1",
  frontend: LOCAL,
  readiness: LOCAL,
  metrics: LOCAL,
  peerPorts: { first: 1, last: 2 },
  isFirstStart: true,
  bounds: {
    revokeMs: 5_000,
    drainMs: 2_000,
    graceMs: 8_000,
    retryRatio: 0.2,
    retryWindowMs: 10_000,
    retrySlack: 200,
    stallMs: 3_000,
  },
};

function liveSettings() {
  const clock = new ManualClock();
  const lines: [string, unknown][] = [];
  const write = (message: string, fields?: unknown): void => {
    lines.push([message, fields]);
  };
  const file = { text: JSON.stringify(SETTINGS) };
  const live = new LiveSettings({
    settings: SETTINGS,
    settingsSource: {
      read: () => Promise.resolve(file.text),
      decode: (text) => ({ host: JSON.parse(text), faults: [] }),
    },
    clock,
    log: { debug: write, info: write, warn: write, error: write },
  });
  const bounds = (part: Partial<HostSettings["bounds"]>): string =>
    JSON.stringify({ ...SETTINGS, bounds: { ...SETTINGS.bounds, ...part } });
  return { clock, lines, file, live, bounds };
}

test("a bound that the file changes without a signal is in force within two seconds", async () => {
  const { clock, lines, file, live, bounds } = liveSettings();
  const end = new AbortController();
  const running = live.run(end.signal);
  file.text = bounds({ revokeMs: 2_000, retrySlack: 10 });
  await clock.advance(2_000);
  expect(live.bounds).toMatchObject({ revokeMs: 2_000, retrySlack: 10 });
  expect(lines).toEqual([["settings changed", {
    changed: [
      { name: "revokeMs", from: 5_000, to: 2_000 },
      { name: "retrySlack", from: 200, to: 10 },
    ],
    needsRestart: [],
  }]]);
  end.abort();
  await running;
});

test("a file that cannot be used changes nothing and is told once", async () => {
  const { lines, file, live, bounds } = liveSettings();
  const usable = bounds({ graceMs: 3_000 });
  file.text = usable.slice(0, 40);
  for (const _ of [1, 2, 3]) await live.check();
  expect(live.bounds).toEqual(SETTINGS.bounds);
  expect(lines.map(([message]) => message)).toEqual([
    "settings file not usable; settings unchanged",
  ]);
  file.text = usable;
  await live.check();
  expect(live.bounds.graceMs).toBe(3_000);
});

test("a member that needs a restart is named and not applied", async () => {
  const { lines, file, live, bounds } = liveSettings();
  const changed = JSON.parse(bounds({ retryWindowMs: 1_000, graceMs: 3_000 }));
  file.text = JSON.stringify({ ...changed, domain: "b" });
  for (const _ of [1, 2]) await live.check();
  expect(live.bounds).toMatchObject({
    retryWindowMs: 10_000,
    graceMs: 3_000,
  });
  expect(lines).toEqual([["settings changed", {
    changed: [{ name: "graceMs", from: 8_000, to: 3_000 }],
    needsRestart: [
      { name: "retryWindowMs", from: 10_000, to: 1_000 },
      { name: "domain", from: "a", to: "b" },
    ],
  }]]);
});

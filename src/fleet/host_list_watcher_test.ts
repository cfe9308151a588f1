import { Ok } from "ts-results-es";
import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { notRun, type Outcome } from "../common/verdict.ts";
import type { ListedHost } from "../clients/types.ts";
import { HostListWatcher } from "./host_list_watcher.ts";

const LIST: readonly ListedHost[] = [{
  name: "host-1",
  url: "http://host-1",
  failureDomain: "d",
  region: "r",
  role: "entry",
  state: "live",
}];

test("an outage of the list keeps the last one and is waited out", async () => {
  const clock = new ManualClock();
  let isDown = false;
  let callCount = 0;
  const list = (): Promise<Outcome<readonly ListedHost[]>> => {
    callCount += 1;
    const outcome = isDown
      ? notRun("connection-failed", "the list is down")
      : new Ok(LIST);
    return Promise.resolve(outcome);
  };
  const watcher = new HostListWatcher({
    client: { list },
    clock,
    random: () => 0.5,
  });
  const seen: (readonly ListedHost[])[] = [];
  watcher.onList((value) => seen.push(value));
  const abort = new AbortController();
  const run = watcher.run(abort.signal);
  await clock.advance(3_000);
  expect(seen).toEqual([LIST, LIST, LIST, LIST]);
  isDown = true;
  await clock.advance(60_000);
  expect(watcher.latest).toBe(LIST);
  // Eight polls at most a minute once backed off, and the ones before that.
  expect(callCount).toBeLessThan(4 + 12);
  isDown = false;
  await clock.advance(8_000);
  expect(seen.length).toBeGreaterThan(4);
  abort.abort();
  await run;
});

const HOUR_MS = 3_600_000;
const LIMIT_BYTES_PER_S = 1_100;

test.each([
  { hosts: 2, targets: 4 },
  { hosts: 9, targets: 33 },
  { hosts: 160, targets: 550 },
  { hosts: 1_600, targets: 5_500 },
])(
  "$hosts hosts and $targets targets: reading the list stays in its budget",
  async (size) => {
    const clock = new ManualClock();
    const list = Array.from(
      { length: size.hosts + size.targets },
      (_unused, index) => entry(index),
    );
    const listBytes = JSON.stringify(list).length;
    const readAtMs: number[] = [];
    const watcher = new HostListWatcher({
      client: {
        list: () => {
          readAtMs.push(clock.nowMs());
          return Promise.resolve(new Ok(list));
        },
      },
      clock,
      random: () => 0.5,
    });
    const abort = new AbortController();
    void watcher.run(abort.signal);
    await clock.advance(HOUR_MS);
    abort.abort();
    // The first read, at the start, is the price of joining.
    const steadyBytesPerS = (readAtMs.length - 1) * listBytes /
      (HOUR_MS / 1_000);
    expect(steadyBytesPerS).toBeLessThanOrEqual(LIMIT_BYTES_PER_S);
    const fleetGapMs = HOUR_MS / (readAtMs.length * size.hosts);
    expect(fleetGapMs).toBeLessThanOrEqual(1_000);
  },
);

function entry(index: number): ListedHost {
  return {
    name: `target-${index}`,
    url: "http://10.0.0.1:8080",
    failureDomain: "nave-leon",
    region: "default",
    role: "target",
    state: "live",
  };
}

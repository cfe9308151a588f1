import { expect, test } from "vitest";
import { Ok } from "ts-results-es";
import { ManualClock } from "../../test/manual_clock.ts";
import type { ListedHost } from "../platform/types.ts";
import { HostListWatcher } from "./host_list_watcher.ts";

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

import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { Emitter } from "../common/emitter.ts";
import { KeepAliveAgent } from "../common/keep_alive_agent.ts";
import { BucketMetrics } from "../common/bucket_metrics.ts";
import { silentLog } from "../common/logging.ts";
import { EraTracker } from "../feeds/era_tracker.ts";
import type { PeerLink } from "../peers/peer_link.ts";
import type { IKeyedLog } from "../ports/services.ts";
import { StoreFeeds } from "./store_feeds.ts";

test("the store counts as reachable while reads of both logs succeed", async () => {
  const clock = new ManualClock();
  let isDown = false;
  const available: IKeyedLog = {
    newest: () => Promise.resolve({ records: [], nextOffset: 0 }),
    read: async (fromOffset, waitMs) => {
      await clock.sleep(waitMs);
      return {
        kind: "records",
        records: [],
        nextOffset: fromOffset,
        isComplete: true,
      };
    },
  };
  const failing: IKeyedLog = {
    newest: () => available.newest(),
    read: (fromOffset, waitMs) =>
      isDown
        ? Promise.reject(new Error("down"))
        : available.read(fromOffset, waitMs),
  };
  const feeds = new StoreFeeds({
    configLog: available,
    targetLog: failing,
    link: { onQuery: new Emitter().event } as unknown as PeerLink,
    hostAgent: new KeepAliveAgent(),
    clock,
    eras: new EraTracker({ clock, log: silentLog }),
    log: silentLog,
    metrics: new BucketMetrics(),
    reader: () => undefined,
    random: () => 0.5,
  });
  expect(feeds.isStoreReachable).toBe(false);
  const stop = new AbortController();
  for (const feed of [feeds.config, feeds.targets]) void feed.run(stop.signal);
  await clock.advance(2_000);
  expect(feeds.isStoreReachable).toBe(true);
  isDown = true;
  await clock.advance(2_000);
  expect(feeds.isStoreReachable).toBe(false);
  isDown = false;
  await clock.advance(2_000);
  expect(feeds.isStoreReachable).toBe(true);
  stop.abort();
});

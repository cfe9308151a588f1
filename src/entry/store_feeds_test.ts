import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { Emitter } from "../common/emitter.ts";
import { BucketMetrics } from "../common/bucket_metrics.ts";
import { silentLog } from "../common/logging.ts";
import type { PeerLink } from "../peers/peer_link.ts";
import type { IKeyedLog } from "../ports/services.ts";
import { StoreFeeds } from "./store_feeds.ts";

test("a host reads the store while both of its logs answer", async () => {
  const clock = new ManualClock();
  let isAway = false;
  const answering: IKeyedLog = {
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
    newest: () => answering.newest(),
    read: (fromOffset, waitMs) =>
      isAway
        ? Promise.reject(new Error("away"))
        : answering.read(fromOffset, waitMs),
  };
  const feeds = new StoreFeeds({
    configLog: answering,
    targetLog: failing,
    link: { onQuestion: new Emitter().event } as unknown as PeerLink,
    clock,
    log: silentLog,
    metrics: new BucketMetrics(),
    reader: () => undefined,
    random: () => 0.5,
  });
  expect(feeds.areRead).toBe(false);
  const stop = new AbortController();
  for (const feed of [feeds.config, feeds.targets]) void feed.run(stop.signal);
  await clock.advance(2_000);
  expect(feeds.areRead).toBe(true);
  isAway = true;
  await clock.advance(2_000);
  expect(feeds.areRead).toBe(false);
  isAway = false;
  await clock.advance(2_000);
  expect(feeds.areRead).toBe(true);
  stop.abort();
});

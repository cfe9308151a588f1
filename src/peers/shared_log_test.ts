import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { BucketMetrics } from "../common/bucket_metrics.ts";
import { silentLog } from "../common/logging.ts";
import { EraTracker } from "../feeds/era_tracker.ts";
import { type KeyedBatch, KeyedFollower } from "../feeds/keyed_follower.ts";
import type { IKeyedLog } from "../ports/services.ts";
import type {
  HostRecord,
  KeyedRead,
  KeyedRecord,
  KeyedSnapshot,
} from "../ports/types.ts";
import { LogResponder } from "./log_responder.ts";
import type { LogAnswer, LogQuery } from "./log_messages.ts";
import { SharedLog } from "./shared_log.ts";

const WAIT_MS = 900;
const READER: HostRecord = {
  id: "reader",
  domain: "a",
  ip: "10.0.0.1",
  port: 1,
  bornMs: 0,
};

/** A log that can be made unavailable. */
class Log implements IKeyedLog {
  readonly records: KeyedRecord[] = [];
  readonly #clock: ManualClock;
  isDown = false;
  calls = 0;

  constructor(clock: ManualClock) {
    this.#clock = clock;
  }

  async read(fromOffset: number, waitMs: number): Promise<KeyedRead> {
    this.calls++;
    const untilMs = this.#clock.nowMs() + waitMs;
    while (
      this.#clock.nowMs() < untilMs && fromOffset >= this.records.length
    ) await this.#clock.sleep(5);
    if (this.isDown) throw new Error("down");
    return {
      kind: "records",
      records: this.records.slice(fromOffset),
      nextOffset: this.records.length,
      isComplete: true,
    };
  }

  newest(): Promise<KeyedSnapshot> {
    this.calls++;
    if (this.isDown) return Promise.reject(new Error("down"));
    return Promise.resolve({
      records: this.records,
      nextOffset: this.records.length,
    });
  }
}

/** A host that reads the log, and one that queries it over a slow network. */
class HostPair {
  readonly clock = new ManualClock();
  readonly log = new Log(this.clock);
  readonly responder = new LogResponder({ clock: this.clock });
  readonly batches: KeyedBatch[] = [];
  readonly stop = new AbortController();
  readonly reader = this.#follow(() => undefined);
  readonly querier = this.#follow(() => READER);
  queryDelayMs = 0;
  answerDelayMs = 0;
  isReaderUnreachable = false;

  constructor() {
    this.responder.add("test", this.reader);
    this.querier.onBatch((batch) => this.batches.push(batch));
    void this.reader.run(this.stop.signal);
    void this.querier.run(this.stop.signal);
  }

  #follow(reader: () => HostRecord | undefined): KeyedFollower {
    const { clock } = this;
    const eras = new EraTracker({ clock, log: silentLog });
    const source = new SharedLog({
      era: () => eras.current,
      name: "test",
      source: this.log,
      sourceWaitMs: WAIT_MS,
      ask: (_host, query, timeoutMs) =>
        Promise.race([
          this.#query({ ...query, id: 1 }),
          clock.sleep(timeoutMs).then(() => undefined),
        ]),
      clock,
      metrics: new BucketMetrics(),
      reader,
    });
    return new KeyedFollower({
      name: "test",
      source,
      waitMs: WAIT_MS,
      pauseMs: 0,
      eras,
      clock,
      log: silentLog,
      random: () => 1,
    });
  }

  async #query(query: LogQuery): Promise<LogAnswer["read"]> {
    await this.clock.sleep(this.queryDelayMs);
    const { read } = await new Promise<LogAnswer>((resolve) => {
      if (!this.isReaderUnreachable) this.responder.handle(query, resolve);
    });
    await this.clock.sleep(this.answerDelayMs);
    return read;
  }
}

test("a host that queries a reader receives a record at once and does not read the log", async () => {
  const pair = new HostPair();
  await pair.clock.advance(3_000);
  const calls = pair.log.calls;
  await pair.clock.advance(9_000);
  // Only the reader calls the log, with reads of 0.9 s.
  expect(pair.log.calls - calls).toBeLessThanOrEqual(11);
  pair.log.records.push({ key: "k", value: Buffer.from("v") });
  await pair.clock.advance(50);
  expect(pair.batches.at(-1)?.records.map(({ key }) => key) ?? []).toContain(
    "k",
  );
  expect(pair.querier.ageMs).toBeLessThan(2 * WAIT_MS);
  pair.stop.abort();
});

test("its watermark is never newer than the reader's, whatever the network delay", async () => {
  const pair = new HostPair();
  for (
    const [queryMs, answerMs] of [[0, 0], [300, 0], [0, 300], [200, 90]]
  ) {
    pair.queryDelayMs = queryMs;
    pair.answerDelayMs = answerMs;
    let isProven = false;
    for (let i = 0; i < 100; i++) {
      await pair.clock.advance(25);
      const { watermarkMs } = pair.querier;
      if (watermarkMs === undefined) continue;
      isProven = true;
      expect(watermarkMs).toBeLessThanOrEqual(
        pair.reader.watermarkMs ?? -Infinity,
      );
    }
    expect(isProven).toBe(true);
  }
  pair.stop.abort();
});

test("a host whose reader is unreachable reads the log before its watermark becomes too old", async () => {
  const pair = new HostPair();
  await pair.clock.advance(3_000);
  pair.isReaderUnreachable = true;
  for (let i = 0; i < 80; i++) {
    await pair.clock.advance(50);
    expect(pair.querier.ageMs).toBeLessThan(2_500);
    expect(pair.querier.isSourceReachable).toBe(true);
  }
  pair.stop.abort();
});

test("a relayed recovery arrives together with the records read after the outage", async () => {
  const pair = new HostPair();
  await pair.clock.advance(3_000);
  pair.log.isDown = true;
  await pair.clock.advance(6_000);
  expect(pair.querier.isSourceReachable).toBe(false);
  expect(pair.querier.ageMs).toBeGreaterThan(5_000);
  pair.log.isDown = false;
  await pair.clock.advance(1_500);
  expect(pair.querier.isSourceReachable).toBe(true);
  expect(pair.querier.ageMs).toBeLessThan(2 * WAIT_MS);
  expect(pair.querier.sinceRecoveryMs).toBeLessThanOrEqual(1_500);
  pair.stop.abort();
});

test("a host cut off from its reader before an outage receives the recovery from the reader", async () => {
  const pair = new HostPair();
  pair.isReaderUnreachable = true;
  await pair.clock.advance(3_000);
  pair.log.isDown = true;
  await pair.clock.advance(1_000);
  pair.log.isDown = false;
  pair.isReaderUnreachable = false;
  await pair.clock.advance(1_800);
  expect(pair.reader.sinceRecoveryMs).toBeLessThan(2_500);
  expect(pair.querier.sinceRecoveryMs).toBeLessThanOrEqual(
    pair.reader.sinceRecoveryMs + 100,
  );
  pair.stop.abort();
});

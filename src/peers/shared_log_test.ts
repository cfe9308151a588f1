import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { LightMetrics } from "../common/light_metrics.ts";
import { silentLog } from "../common/logging.ts";
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

/** A log that can be away. */
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
    if (this.isDown) throw new Error("away");
    return {
      kind: "records",
      records: this.records.slice(fromOffset),
      nextOffset: this.records.length,
      isComplete: true,
    };
  }

  newest(): Promise<KeyedSnapshot> {
    this.calls++;
    if (this.isDown) return Promise.reject(new Error("away"));
    return Promise.resolve({
      records: this.records,
      nextOffset: this.records.length,
    });
  }
}

/** A host that reads the log, and one that asks it over a slow network. */
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
    const source = new SharedLog({
      name: "test",
      source: this.log,
      sourceWaitMs: WAIT_MS,
      ask: (_host, question, timeoutMs) =>
        Promise.race([
          this.#query({ ...question, id: 1 }),
          clock.sleep(timeoutMs).then(() => undefined),
        ]),
      clock,
      metrics: new LightMetrics(),
      reader,
    });
    return new KeyedFollower({
      name: "test",
      source,
      waitMs: WAIT_MS,
      pauseMs: 0,
      clock,
      log: silentLog,
      random: () => 1,
    });
  }

  async #query(question: LogQuery): Promise<LogAnswer["read"]> {
    await this.clock.sleep(this.queryDelayMs);
    const { read } = await new Promise<LogAnswer>((resolve) => {
      if (!this.isReaderUnreachable) this.responder.handle(question, resolve);
    });
    await this.clock.sleep(this.answerDelayMs);
    return read;
  }
}

test("a host that asks learns of a record at once and does not read the log", async () => {
  const pair = new HostPair();
  await pair.clock.advance(3_000);
  const calls = pair.log.calls;
  await pair.clock.advance(9_000);
  // One host's long reads.
  expect(pair.log.calls - calls).toBeLessThanOrEqual(11);
  pair.log.records.push({ key: "k", value: Buffer.from("v") });
  await pair.clock.advance(50);
  expect(pair.batches.at(-1)?.records.map(({ key }) => key) ?? []).toContain(
    "k",
  );
  expect(pair.querier.ageMs).toBeLessThan(2 * WAIT_MS);
  pair.stop.abort();
});

test("its proof is never newer than that of the host it asked, whatever the network delays", async () => {
  const pair = new HostPair();
  for (
    const [questionMs, answerMs] of [[0, 0], [300, 0], [0, 300], [200, 90]]
  ) {
    pair.queryDelayMs = questionMs;
    pair.answerDelayMs = answerMs;
    let isProven = false;
    for (let i = 0; i < 100; i++) {
      await pair.clock.advance(25);
      const { watermarkMs: watermarkMs } = pair.querier;
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

test("a host whose reader is gone reads the log before its proof grows old", async () => {
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

test("the end of an outage is told together with what was read after it", async () => {
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

test("a host that was away from the start of an outage hears of its end from its reader", async () => {
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

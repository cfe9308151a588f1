import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { silentLog } from "../common/logging.ts";
import { InvalidCallError } from "../ports/invalid_call_error.ts";
import type { KeyedRead, KeyedSnapshot } from "../ports/types.ts";
import { EraTracker } from "./era_tracker.ts";
import { type KeyedBatch, KeyedFollower } from "./keyed_follower.ts";
import { addMs, readClocks, Watermark } from "./watermark.ts";

const WAIT_MS = 900;

/** A log that waits as long as the read requests and then returns `answer()`. */
class Source {
  readonly clock = new ManualClock();
  readonly eras = new EraTracker({ clock: this.clock, log: silentLog });
  readonly reads: { from: number; waitMs: number }[] = [];
  snapshots = 0;
  answer: () => KeyedRead | Error = () => records(0);

  async read(from: number, waitMs: number): Promise<KeyedRead> {
    this.reads.push({ from, waitMs });
    await this.clock.sleep(waitMs);
    const answer = this.answer();
    if (answer instanceof Error) throw answer;
    return answer;
  }

  newest(): Promise<KeyedSnapshot> {
    this.snapshots++;
    return Promise.resolve({ records: [], nextOffset: 5 });
  }
}

function records(count: number, isComplete = true): KeyedRead {
  return {
    kind: "records",
    records: Array.from({ length: count }, (_, index) => ({
      key: `k${index}`,
      value: Buffer.from("v"),
    })),
    nextOffset: 5 + count,
    isComplete,
  };
}

function follow(source: Source, pauseMs = 0) {
  const follower = new KeyedFollower({
    name: "test",
    source,
    waitMs: WAIT_MS,
    pauseMs,
    eras: source.eras,
    clock: source.clock,
    log: silentLog,
    random: () => 1,
  });
  const batches: KeyedBatch[] = [];
  follower.onBatch((batch) => batches.push(batch));
  const stop = new AbortController();
  void follower.run(stop.signal);
  return { follower, batches, stop };
}

test("the age is counted from the start of the last complete read", async () => {
  const source = new Source();
  const { follower, stop } = follow(source);
  await source.clock.advance(50);
  expect(follower.ageMs).toBe(40);
  await source.clock.advance(WAIT_MS);
  expect(follower.ageMs).toBeLessThanOrEqual(2 * WAIT_MS);
  stop.abort();
});

test("a snapshot or an incomplete read does not advance the watermark", async () => {
  const source = new Source();
  source.answer = () => records(1, false);
  const { follower, batches, stop } = follow(source);
  await source.clock.advance(10);
  expect(batches.length).toBeGreaterThan(1);
  expect(follower.ageMs).toBe(Infinity);
  stop.abort();
});

test("an expired offset leads to a new snapshot", async () => {
  const source = new Source();
  const { follower, stop } = follow(source);
  await source.clock.advance(50);
  source.answer = () => ({ kind: "expired" });
  await source.clock.advance(WAIT_MS);
  source.answer = () => records(0);
  await source.clock.advance(WAIT_MS);
  expect(source.snapshots).toBe(2);
  expect(follower.ageMs).toBeLessThanOrEqual(2 * WAIT_MS);
  stop.abort();
});

test("two consecutive failures count as an outage, and the first read after it does not wait", async () => {
  const source = new Source();
  const { follower, stop } = follow(source);
  await source.clock.advance(50);
  expect(follower.isSourceReachable).toBe(true);
  source.answer = () => new Error("down");
  await source.clock.advance(2_000);
  expect(follower.isSourceReachable).toBe(false);
  expect(follower.ageMs).toBeGreaterThan(1_900);
  source.answer = () => records(0);
  await source.clock.advance(700);
  expect(source.reads.findLast(({ waitMs }) => waitMs === 0)).toBeDefined();
  expect(follower.isSourceReachable).toBe(true);
  stop.abort();
});

test("a relayed read sets the watermark and the recovery time of this host", async () => {
  const source = new Source();
  const { follower, stop } = follow(source, 700);
  await source.clock.advance(50);
  expect(follower.sinceRecoveryMs).toBe(Infinity);
  source.answer = () => ({
    ...records(0) as Extract<KeyedRead, { kind: "records" }>,
    relay: { watermarkDeltaMs: 400, sinceRecoveryMs: 300 },
  });
  await source.clock.advance(700 + WAIT_MS);
  // The relayed watermark lies 400 ms after the start of the read.
  expect(follower.ageMs).toBeLessThan(WAIT_MS);
  expect(follower.sinceRecoveryMs).toBeLessThan(300 + WAIT_MS);
  // `pauseMs` applies only to reads from the log itself, not to relayed reads.
  const readCount = source.reads.length;
  await source.clock.advance(4 * (WAIT_MS + 20));
  expect(source.reads.length).toBeGreaterThanOrEqual(readCount + 4);
  stop.abort();
});

test("an earlier reading does not move the watermark back", () => {
  const clock = new ManualClock();
  const watermark = new Watermark(clock);
  watermark.renew(readClocks(clock));
  watermark.renew(addMs(readClocks(clock), -500));
  expect(watermark.ageMs).toBe(0);
});

test("a suspension or a jump of the wall clock invalidates the watermark", () => {
  let nowMs = 1_000;
  let wallMs = 50_000;
  const clock = {
    nowMs: () => nowMs,
    wallMs: () => wallMs,
    sleep: () => Promise.resolve(),
  };
  const watermark = new Watermark(clock);
  expect(watermark.ageMs).toBe(Infinity);
  watermark.renew(readClocks(clock));
  nowMs += 400;
  wallMs += 420;
  expect(watermark.ageMs).toBe(400);
  // During a suspension only the wall clock advances.
  wallMs += 6_000;
  expect(watermark.ageMs).toBe(Infinity);
  watermark.renew(readClocks(clock));
  expect(watermark.ageMs).toBe(0);
  wallMs -= 2_000;
  expect(watermark.ageMs).toBe(Infinity);
});

/** A source with the records of two eras; offsets 3 and 4 are given out again. */
function twoEras() {
  const source = new Source();
  const key = (name: string) => ({ key: name, value: Buffer.from(name) });
  const eras = [
    { era: 1, records: ["a", "b", "c", "lost-1", "lost-2"].map(key) },
    { era: 2, records: ["a", "b", "c", "new-1", "new-2", "new-3"].map(key) },
  ];
  const state = { present: eras[0] };
  source.newest = () => {
    const { era, records } = state.present;
    source.eras.observe(era, "store");
    source.snapshots++;
    return Promise.resolve({ records, nextOffset: records.length, era });
  };
  source.read = async (from, waitMs) => {
    await source.clock.sleep(waitMs);
    const { era, records } = state.present;
    source.eras.observe(era, "store");
    return {
      kind: "records",
      records: records.slice(from),
      nextOffset: records.length,
      isComplete: true,
      era,
    };
  };
  const drill = () => state.present = eras[1];
  const keysOf = (batches: readonly KeyedBatch[]) =>
    new Set(batches.flatMap(({ records }) => records.map(({ key }) => key)));
  return { source, drill, keysOf };
}

test("an offset that a later era gives out again hides no record", async () => {
  const { source, drill, keysOf } = twoEras();
  const { batches, stop } = follow(source);
  await source.clock.advance(3_000);
  const before = batches.length;
  drill();
  await source.clock.advance(3_000);
  const after = batches.slice(before);
  expect([...keysOf(after)]).toEqual(
    expect.arrayContaining(["new-1", "new-2", "new-3"]),
  );
  expect(after.find(({ isSnapshot }) => isSnapshot)?.isRestored).toBe(true);
  // No batch joins records of both eras.
  expect(keysOf(after).has("lost-1")).toBe(false);
  stop.abort();
});

test("a read in a new era proves nothing until the era is settled, and the old proof ages", async () => {
  const { source, drill } = twoEras();
  const { follower, stop } = follow(source);
  await source.clock.advance(4_000);
  expect(follower.ageMs).toBeLessThanOrEqual(2 * WAIT_MS);
  drill();
  await source.clock.advance(1_900);
  expect(follower.ageMs).toBeGreaterThanOrEqual(1_900);
  expect(follower.watermarkMs).toBeUndefined();
  await source.clock.advance(2_500);
  expect(follower.ageMs).toBeLessThanOrEqual(2 * WAIT_MS);
  expect(follower.watermarkMs).toBeDefined();
  stop.abort();
});

test("an answer of an older era that arrives late changes nothing", async () => {
  const source = new Source();
  source.eras.observe(1, "store");
  source.answer = () => ({ ...records(1), era: 1 }) as KeyedRead;
  source.newest = () => Promise.resolve({ records: [], nextOffset: 5, era: 1 });
  const { follower, batches, stop } = follow(source);
  await source.clock.advance(50);
  const before = batches.length;
  const { ageMs } = follower;
  source.eras.observe(2, "host-1");
  await source.clock.advance(2 * WAIT_MS);
  expect(batches.length).toBe(before);
  expect(follower.ageMs).toBeGreaterThanOrEqual(ageMs + 2 * WAIT_MS);
  stop.abort();
});

test("a host that was cut off through two drills reads the newest records of the last era", async () => {
  const { source, drill, keysOf } = twoEras();
  const { batches, follower, stop } = follow(source);
  await source.clock.advance(3_000);
  const { read } = source;
  source.read = () => Promise.reject(new Error("cut off"));
  await source.clock.advance(8_000);
  const before = batches.length;
  drill();
  source.eras.observe(7, "host-1");
  source.newest = () =>
    Promise.resolve({
      records: [{ key: "newest", value: Buffer.from("v") }],
      nextOffset: 2,
      era: 7,
    });
  source.read = async (from, waitMs) => ({
    ...await read(from, waitMs),
    era: 7,
  });
  await source.clock.advance(1_000);
  const after = batches.slice(before);
  expect(after[0]).toMatchObject({ isSnapshot: true, isRestored: true });
  expect(keysOf(after.slice(0, 1))).toEqual(new Set(["newest"]));
  expect(follower.era).toBe(7);
  stop.abort();
});

// Guards against an outage that is made of malformed calls of this host.
test("calls that the store refuses as malformed count as no loss of the store", async () => {
  const source = new Source();
  const { follower, stop } = follow(source);
  await source.clock.advance(50);
  const { sinceRecoveryMs } = follower;
  source.answer = () =>
    new InvalidCallError("HTTP 400", { call: "GET /read?wait=0.5" });
  await source.clock.advance(4_000);
  expect(source.reads.length).toBeGreaterThan(3);
  expect(follower.isSourceReachable).toBe(true);
  expect(follower.sinceRecoveryMs).toBeGreaterThanOrEqual(sinceRecoveryMs);
  // What the host knows is as old as its last read that was answered.
  expect(follower.ageMs).toBeGreaterThan(3_000);
  source.answer = () => records(0);
  await source.clock.advance(1_500);
  expect(follower.ageMs).toBeLessThan(2 * WAIT_MS);
  stop.abort();
});

test.each([
  ["has nothing new", () => records(0)],
  ["never reaches its end", () => records(0, false)],
  ["expires each offset", (): KeyedRead => ({ kind: "expired" })],
])(
  "a log that answers at once and %s is not read in a loop without pauses",
  async (_name, answer) => {
    const source = new Source();
    const { follower, stop } = follow(source);
    await source.clock.advance(50);
    source.read = async (from, waitMs) => {
      source.reads.push({ from, waitMs });
      await source.clock.sleep(2);
      return answer();
    };
    await source.clock.advance(WAIT_MS);
    source.reads.length = 0;
    await source.clock.advance(10_000);
    expect(source.reads.length).toBeLessThan(50);
    source.read = async (from, waitMs) => {
      source.reads.push({ from, waitMs });
      await source.clock.sleep(waitMs);
      return records(1);
    };
    await source.clock.advance(WAIT_MS);
    expect(follower.ageMs).toBeLessThan(2 * WAIT_MS);
    stop.abort();
  },
);

import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { Emitter } from "../common/emitter.ts";
import type { KeyedBatch, KeyedFollower } from "../feeds/keyed_follower.ts";
import { LogResponder } from "./log_responder.ts";
import type { LogAnswer } from "./log_messages.ts";

/** A responder for one log with a fake follower that the test controls. */
function responderWith() {
  const clock = new ManualClock();
  const onBatch = new Emitter<KeyedBatch>();
  const onWatermark = new Emitter<void>();
  let watermarkMs: number | undefined = clock.nowMs();
  const follower = {
    onBatch: onBatch.event,
    onWatermark: onWatermark.event,
    get watermarkMs() {
      return watermarkMs;
    },
    sinceRecoveryMs: Infinity,
  } as unknown as KeyedFollower;
  const logs = new LogResponder({ clock });
  logs.add("log", follower);
  onBatch.fire({
    isSnapshot: true,
    isComplete: false,
    records: [],
    nextOffset: 5,
  });
  const answers: LogAnswer[] = [];
  const query = (mayWait: boolean, log = "log") =>
    logs.handle(
      { id: 1, log, fromOffset: 5, mayWait, era: undefined },
      (answer) => answers.push(answer),
    );
  const advanceWatermark = (isKnown = true) => {
    watermarkMs = isKnown ? clock.nowMs() : undefined;
    onWatermark.fire();
  };
  return { clock, answers, query, advanceWatermark };
}

test("a query that may wait is answered when the watermark advances", async () => {
  const { clock, answers, query, advanceWatermark } = responderWith();
  query(true);
  await clock.advance(300);
  expect(answers).toEqual([]);
  advanceWatermark();
  // The watermark is 300 ms after the query's arrival.
  expect(answers[0].read).toMatchObject({
    watermarkDeltaMs: 300,
    nextOffset: 5,
  });
});

test("a query that may not wait is answered at once with the current watermark", async () => {
  const { clock, answers, query } = responderWith();
  await clock.advance(200);
  query(false);
  expect(answers[0].read?.watermarkDeltaMs).toBe(-200);
});

test("a query older than the retention time is dropped without an answer", async () => {
  const { clock, answers, query, advanceWatermark } = responderWith();
  query(true);
  await clock.advance(2_500);
  advanceWatermark();
  expect(answers).toEqual([]);
});

test("without a watermark, or for an unknown log, the answer has no read", () => {
  const { answers, query, advanceWatermark } = responderWith();
  advanceWatermark(false);
  query(false);
  query(true, "another");
  expect(answers.map(({ read }) => read)).toEqual([undefined, undefined]);
});

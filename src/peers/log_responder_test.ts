import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { Emitter } from "../common/emitter.ts";
import type { KeyedBatch, KeyedFollower } from "../feeds/keyed_follower.ts";
import { LogResponder } from "./log_responder.ts";
import type { LogAnswer } from "./log_messages.ts";

/** An answerer for one log, whose follower the test drives. */
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
  const ask = (mayWait: boolean, log = "log") =>
    logs.handle(
      { id: 1, log, fromOffset: 5, mayWait },
      (answer) => answers.push(answer),
    );
  const prove = (isKnown = true) => {
    watermarkMs = isKnown ? clock.nowMs() : undefined;
    onWatermark.fire();
  };
  return { clock, answers, ask, prove };
}

test("a question that may wait is answered when a newer moment is proven", async () => {
  const { clock, answers, ask, prove } = responderWith();
  ask(true);
  await clock.advance(300);
  expect(answers).toEqual([]);
  prove();
  // Proven 300 ms after the question came.
  expect(answers[0].read).toMatchObject({
    watermarkDeltaMs: 300,
    nextOffset: 5,
  });
});

test("a question that may not wait is answered at once, with the proof there is", async () => {
  const { clock, answers, ask } = responderWith();
  await clock.advance(200);
  ask(false);
  expect(answers[0].read?.watermarkDeltaMs).toBe(-200);
});

test("a question whose asker has long gone elsewhere gets no answer", async () => {
  const { clock, answers, ask, prove } = responderWith();
  ask(true);
  await clock.advance(2_500);
  prove();
  expect(answers).toEqual([]);
});

test("without a proof, or for a log not followed, nothing is told", () => {
  const { answers, ask, prove } = responderWith();
  prove(false);
  ask(false);
  ask(true, "another");
  expect(answers.map(({ read }) => read)).toEqual([undefined, undefined]);
});

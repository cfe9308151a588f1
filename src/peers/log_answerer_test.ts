import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { Emitter } from "../common/emitter.ts";
import type { KeyedBatch, KeyedFollower } from "../feeds/keyed_follower.ts";
import { LogAnswerer } from "./log_answerer.ts";
import type { LogAnswer } from "./log_messages.ts";

/** An answerer for one log, whose follower the test drives. */
function answerer() {
  const clock = new ManualClock();
  const onBatch = new Emitter<KeyedBatch>();
  const onProof = new Emitter<void>();
  let provenMs: number | undefined = clock.nowMs();
  const follower = {
    onBatch: onBatch.event,
    onProof: onProof.event,
    get provenMs() {
      return provenMs;
    },
    sinceRecoveryMs: Infinity,
  } as unknown as KeyedFollower;
  const logs = new LogAnswerer({ clock });
  logs.add("log", follower);
  onBatch.fire({
    isSnapshot: true,
    isComplete: false,
    records: [],
    nextOffset: 5,
  });
  const answers: LogAnswer[] = [];
  const ask = (mayWait: boolean, log = "log") =>
    logs.take(
      { id: 1, log, fromOffset: 5, mayWait },
      (answer) => answers.push(answer),
    );
  const prove = (isKnown = true) => {
    provenMs = isKnown ? clock.nowMs() : undefined;
    onProof.fire();
  };
  return { clock, answers, ask, prove };
}

test("a question that may wait is answered when a newer moment is proven", async () => {
  const { clock, answers, ask, prove } = answerer();
  ask(true);
  await clock.advance(300);
  expect(answers).toEqual([]);
  prove();
  // Proven 300 ms after the question came.
  expect(answers[0].read).toMatchObject({ provenAfterMs: 300, nextOffset: 5 });
});

test("a question that may not wait is answered at once, with the proof there is", async () => {
  const { clock, answers, ask } = answerer();
  await clock.advance(200);
  ask(false);
  expect(answers[0].read?.provenAfterMs).toBe(-200);
});

test("a question whose asker has long gone elsewhere gets no answer", async () => {
  const { clock, answers, ask, prove } = answerer();
  ask(true);
  await clock.advance(2_500);
  prove();
  expect(answers).toEqual([]);
});

test("without a proof, or for a log not followed, nothing is told", () => {
  const { answers, ask, prove } = answerer();
  prove(false);
  ask(false);
  ask(true, "another");
  expect(answers.map(({ read }) => read)).toEqual([undefined, undefined]);
});

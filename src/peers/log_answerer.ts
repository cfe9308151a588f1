/**
 * Answers other hosts' questions about the logs that this host follows. An
 * answer says up to which moment, counted from the question's arrival, all
 * records are known; the host that asked dates it from its sending, which was
 * earlier, so a delay on the way makes a proof look older, never newer.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { KeyedFollower } from "../feeds/keyed_follower.ts";
import { LogMirror } from "../feeds/log_mirror.ts";
import type { LogAnswer, LogAnswerRead, LogQuestion } from "./log_messages.ts";

/** Questions that wait at once; hosts that get no place read the log themselves. */
const MAX_WAITING = 500;
/** A host asks again, or reads for itself, before this. */
const FORGET_AFTER_MS = 2_000;
/** Time since a recovery is told up to here, which means "long ago". */
const LONG_AGO_MS = 3_600_000;

interface Waiting {
  readonly question: LogQuestion;
  readonly arrivedMs: number;
  readonly reply: (answer: LogAnswer) => void;
}

interface Followed {
  readonly follower: KeyedFollower;
  readonly mirror: LogMirror;
  waiting: Waiting[];
}

/** Options of an answerer. */
export interface LogAnswererOptions {
  readonly clock: Clock;
}

/** Answers at once what is new, and else when a newer moment is proven. */
export class LogAnswerer {
  readonly #clock: Clock;
  readonly #logs = new Map<string, Followed>();

  constructor(options: LogAnswererOptions) {
    this.#clock = options.clock;
  }

  /** Answers questions about `name` from what `follower` learns. */
  add(name: string, follower: KeyedFollower): void {
    const followed = { follower, mirror: new LogMirror(), waiting: [] };
    this.#logs.set(name, followed);
    follower.onBatch((batch) => followed.mirror.take(batch));
    follower.onProof(() => this.#answerAll(followed));
  }

  take(question: LogQuestion, reply: (answer: LogAnswer) => void): void {
    const followed = this.#logs.get(question.log);
    const waiting = { question, reply, arrivedMs: this.#clock.nowMs() };
    if (followed === undefined) {
      reply({ id: question.id, read: undefined });
      return;
    }
    const read = readFor(followed, waiting);
    const mustWait = question.mayWait && read?.records.length === 0 &&
      followed.waiting.length < MAX_WAITING;
    if (mustWait) followed.waiting.push(waiting);
    else reply({ id: question.id, read });
  }

  #answerAll(followed: Followed): void {
    const { waiting } = followed;
    followed.waiting = [];
    const sinceMs = this.#clock.nowMs() - FORGET_AFTER_MS;
    for (const one of waiting) {
      if (one.arrivedMs < sinceMs) continue;
      one.reply({ id: one.question.id, read: readFor(followed, one) });
    }
  }
}

function readFor(
  { follower, mirror }: Followed,
  { question, arrivedMs }: Waiting,
): LogAnswerRead | undefined {
  const provenMs = follower.provenMs;
  const read = mirror.readAfter(question.fromOffset);
  if (provenMs === undefined || read === undefined) return undefined;
  return {
    ...read,
    provenAfterMs: provenMs - arrivedMs,
    sinceRecoveryMs: Math.min(LONG_AGO_MS, follower.sinceRecoveryMs),
  };
}

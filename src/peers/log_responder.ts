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
import type { LogAnswer, LogAnswerRead, LogQuery } from "./log_messages.ts";

/** Questions that wait at once; hosts that get no place read the log themselves. */
const MAX_PENDING_QUERIES = 500;
/** A host asks again, or reads for itself, before this. */
const QUERY_RETENTION_MS = 2_000;
/** Time since a recovery is told up to here, which means "long ago". */
const MAX_RECOVERY_AGE_MS = 3_600_000;

interface PendingQuery {
  readonly query: LogQuery;
  readonly arrivedMs: number;
  readonly reply: (answer: LogAnswer) => void;
}

interface FollowedLog {
  readonly follower: KeyedFollower;
  readonly mirror: LogMirror;
  pending: PendingQuery[];
}

/** Options of an answerer. */
export interface LogResponderOptions {
  readonly clock: Clock;
}

/** Answers at once what is new, and else when a newer moment is proven. */
export class LogResponder {
  readonly #clock: Clock;
  readonly #logs = new Map<string, FollowedLog>();

  constructor(options: LogResponderOptions) {
    this.#clock = options.clock;
  }

  /** Answers questions about `name` from what `follower` learns. */
  add(name: string, follower: KeyedFollower): void {
    const followed = { follower, mirror: new LogMirror(), pending: [] };
    this.#logs.set(name, followed);
    follower.onBatch((batch) => followed.mirror.apply(batch));
    follower.onWatermark(() => this.#answerPending(followed));
  }

  handle(query: LogQuery, reply: (answer: LogAnswer) => void): void {
    const followed = this.#logs.get(query.log);
    const waiting = { query: query, reply, arrivedMs: this.#clock.nowMs() };
    if (followed === undefined) {
      reply({ id: query.id, read: undefined });
      return;
    }
    const read = readFor(followed, waiting);
    const mustWait = query.mayWait && read?.records.length === 0 &&
      followed.pending.length < MAX_PENDING_QUERIES;
    if (mustWait) followed.pending.push(waiting);
    else reply({ id: query.id, read });
  }

  #answerPending(followed: FollowedLog): void {
    const { pending: waiting } = followed;
    followed.pending = [];
    const sinceMs = this.#clock.nowMs() - QUERY_RETENTION_MS;
    for (const one of waiting) {
      if (one.arrivedMs < sinceMs) continue;
      one.reply({ id: one.query.id, read: readFor(followed, one) });
    }
  }
}

function readFor(
  { follower, mirror }: FollowedLog,
  { query: query, arrivedMs }: PendingQuery,
): LogAnswerRead | undefined {
  const watermarkMs = follower.watermarkMs;
  const read = mirror.readAfter(query.fromOffset);
  if (watermarkMs === undefined || read === undefined) return undefined;
  return {
    ...read,
    watermarkDeltaMs: watermarkMs - arrivedMs,
    sinceRecoveryMs: Math.min(MAX_RECOVERY_AGE_MS, follower.sinceRecoveryMs),
  };
}

/**
 * Answers other hosts' queries about the logs that this host follows. An answer
 * gives the watermark relative to the query's arrival. The querying host adds it
 * to the time of sending, which is earlier, so network delay makes the watermark
 * look older, never newer.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { KeyedFollower } from "../feeds/keyed_follower.ts";
import { LogMirror } from "../feeds/log_mirror.ts";
import type { LogAnswer, LogAnswerRead, LogQuery } from "./log_messages.ts";

/**
 * Maximum number of waiting queries; beyond it, queries are answered at once
 * and hosts without an answer read the log.
 */
const MAX_PENDING_QUERIES = 500;
/** The querying host times out and reads the log itself before this. */
const QUERY_RETENTION_MS = 2_000;
/**
 * Upper limit of the reported time since a recovery, which is infinite if there
 * was none.
 */
const MAX_RECOVERY_AGE_MS = 3_600_000;

interface PendingQuery {
  readonly query: LogQuery;
  readonly arrivedMs: number;
  readonly reply: (answer: LogAnswer) => void;
}

interface FollowedLog {
  readonly follower: KeyedFollower;
  readonly isReading: () => boolean;
  readonly mirror: LogMirror;
  pending: PendingQuery[];
}

export interface LogResponderOptions {
  readonly clock: Clock;
}

/**
 * Answers a query at once if there are new records, and otherwise when the
 * watermark advances.
 */
export class LogResponder {
  readonly #clock: Clock;
  readonly #logs = new Map<string, FollowedLog>();

  constructor(options: LogResponderOptions) {
    this.#clock = options.clock;
  }

  /**
   * Answers queries about the log `name` from the records of `follower`.
   * `isReading` tells whether this host's own reads of the log succeed.
   */
  add(
    name: string,
    follower: KeyedFollower,
    isReading: () => boolean = () => true,
  ): void {
    const followed = {
      follower,
      isReading,
      mirror: new LogMirror(),
      pending: [],
    };
    this.#logs.set(name, followed);
    follower.onBatch((batch) => followed.mirror.apply(batch));
    follower.onWatermark(() => this.#answerPending(followed));
  }

  handle(query: LogQuery, reply: (answer: LogAnswer) => void): void {
    const followed = this.#logs.get(query.log);
    const pendingQuery = { query, reply, arrivedMs: this.#clock.nowMs() };
    if (followed === undefined) {
      reply({ id: query.id, read: undefined });
      return;
    }
    const answer = answerTo(followed, pendingQuery);
    const isUnchanged = answer.read?.records.length === 0;
    // This host may itself be waiting for the one that asks, so neither would learn more.
    if (isUnchanged && !followed.isReading()) {
      reply({ id: query.id, read: undefined });
      return;
    }
    const mustWait = query.mayWait && isUnchanged &&
      followed.pending.length < MAX_PENDING_QUERIES;
    if (mustWait) followed.pending.push(pendingQuery);
    else reply(answer);
  }

  /** The records for a query at once, however large; undefined without a proof. */
  readNow(query: LogQuery): LogAnswerRead | undefined {
    const followed = this.#logs.get(query.log);
    if (followed === undefined) return undefined;
    const arrivedMs = this.#clock.nowMs();
    return readFor(followed, { query, arrivedMs }, { includesLarge: true });
  }

  /** Tells the hosts that wait for news of a log to read it themselves. */
  rejectPending(name: string): void {
    const followed = this.#logs.get(name);
    if (followed === undefined) return;
    const { pending } = followed;
    followed.pending = [];
    for (const { query, reply } of pending) {
      reply({ id: query.id, read: undefined });
    }
  }

  #answerPending(followed: FollowedLog): void {
    const { pending } = followed;
    followed.pending = [];
    const sinceMs = this.#clock.nowMs() - QUERY_RETENTION_MS;
    for (const one of pending) {
      if (one.arrivedMs < sinceMs) continue;
      one.reply(answerTo(followed, one));
    }
  }
}

function readFor(
  { follower, mirror }: FollowedLog,
  { query, arrivedMs }: Pick<PendingQuery, "query" | "arrivedMs">,
  { includesLarge }: { readonly includesLarge: boolean } = {
    includesLarge: false,
  },
): LogAnswerRead | undefined {
  const { watermarkMs, era } = follower;
  if (era !== query.era) return undefined;
  const read = includesLarge
    ? mirror.readAllAfter(query.fromOffset)
    : mirror.readAfter(query.fromOffset);
  if (watermarkMs === undefined || read === undefined) return undefined;
  return {
    ...read,
    era,
    watermarkDeltaMs: watermarkMs - arrivedMs,
    sinceRecoveryMs: Math.min(MAX_RECOVERY_AGE_MS, follower.sinceRecoveryMs),
  };
}

function answerTo(followed: FollowedLog, pending: PendingQuery): LogAnswer {
  const { id, canFetch } = pending.query;
  const read = readFor(followed, pending);
  const isLarge = canFetch === true && read === undefined &&
    readFor(followed, pending, { includesLarge: true }) !== undefined;
  return isLarge ? { id, read, isLarge } : { id, read };
}

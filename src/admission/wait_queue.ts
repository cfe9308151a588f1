/**
 * Requests that wait for room, the most urgent rank first. Within a rank the
 * oldest goes first; a smaller one may pass it only for a short time, so that
 * large requests are not starved. A request whose time is up is refused. Pure
 * but for the clock.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";

/** Waiters behind the oldest that may start before it. */
const MAX_OVERTAKEN = 6;
/** After this wait nothing of the same rank passes a waiter. */
const OVERTAKABLE_FOR_MS = 250;

/** A request that waits. */
export interface Waiter {
  /** 0 goes first. */
  readonly rank: number;
  readonly untilMs: number;
  /** Starts the request and returns true, or false where there is no room. */
  tryStart(): boolean;
  /** Called once when the wait has been too long or the queue is full. */
  refuse(): void;
}

interface QueueEntry {
  readonly waiter: Waiter;
  readonly sinceMs: number;
}

/** Options of a queue. */
export interface WaitQueueOptions {
  readonly clock: Clock;
  readonly maxWaiting: number;
}

/** One service's queue at one host. */
export class WaitQueue {
  readonly #clock: Clock;
  readonly #maxWaiting: number;
  #entries: QueueEntry[] = [];

  constructor(options: WaitQueueOptions) {
    this.#clock = options.clock;
    this.#maxWaiting = options.maxWaiting;
  }

  get length(): number {
    return this.#entries.length;
  }

  /** Starts the request at once, or lets it wait. */
  add(waiter: Waiter): void {
    const hasEqual = this.#entries.some((other) =>
      other.waiter.rank <= waiter.rank
    );
    if (!hasEqual && waiter.tryStart()) return;
    if (this.#entries.length >= this.#maxWaiting) {
      const last = this.#entries.at(-1);
      if (last === undefined || last.waiter.rank <= waiter.rank) {
        waiter.refuse();
        return;
      }
      this.#entries.pop();
      last.waiter.refuse();
    }
    const index = this.#entries.findIndex((other) =>
      other.waiter.rank > waiter.rank
    );
    const waiting = { waiter, sinceMs: this.#clock.nowMs() };
    this.#entries.splice(index < 0 ? this.#entries.length : index, 0, waiting);
    if (hasEqual) this.dispatch();
  }

  /** Starts what has room now and refuses what has waited too long. */
  dispatch(): void {
    const nowMs = this.#clock.nowMs();
    const kept: QueueEntry[] = [];
    const late: Waiter[] = [];
    let passed = 0;
    let isClosed = false;
    for (const waiting of this.#entries) {
      if (waiting.waiter.untilMs <= nowMs) {
        late.push(waiting.waiter);
      } else if (isClosed || !waiting.waiter.tryStart()) {
        kept.push(waiting);
        passed++;
        isClosed ||= passed > MAX_OVERTAKEN ||
          nowMs - waiting.sinceMs > OVERTAKABLE_FOR_MS;
      }
    }
    this.#entries = kept;
    for (const waiter of late) waiter.refuse();
  }

  /** Takes out a waiter whose caller left. */
  remove(waiter: Waiter): void {
    this.#entries = this.#entries.filter((waiting) =>
      waiting.waiter !== waiter
    );
  }
}

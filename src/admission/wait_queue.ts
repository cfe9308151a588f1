/**
 * Queues requests that wait for capacity, the most urgent rank first. Within a
 * rank the oldest goes first; a smaller request may overtake it only for a short
 * time, so that large requests are not starved. A request whose wait expires is
 * refused. Pure but for the clock.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";

/** Number of waiters without capacity that those behind them may overtake. */
const MAX_OVERTAKEN = 6;
/** A waiter without capacity that has waited longer blocks those behind it. */
const OVERTAKABLE_FOR_MS = 250;

export interface Waiter {
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly untilMs: number;
  /** Starts the request and returns true, or returns false without capacity. */
  tryStart(): boolean;
  /** Called once if the wait expires or the queue is full. */
  refuse(): void;
}

interface QueueEntry {
  readonly waiter: Waiter;
  readonly sinceMs: number;
}

export interface WaitQueueOptions {
  readonly clock: Clock;
  readonly maxWaiting: number;
}

/** The queue of one service at one host. */
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

  /** Starts the request at once, or queues it, or refuses it if the queue is full. */
  add(waiter: Waiter): void {
    const isBehindOthers = this.#entries.some((other) =>
      other.waiter.rank <= waiter.rank
    );
    if (!isBehindOthers && waiter.tryStart()) return;
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
    const entry = { waiter, sinceMs: this.#clock.nowMs() };
    this.#entries.splice(index < 0 ? this.#entries.length : index, 0, entry);
    if (isBehindOthers) this.dispatch();
  }

  /** Starts waiters that have capacity and refuses those whose wait has expired. */
  dispatch(): void {
    this.expire();
    const nowMs = this.#clock.nowMs();
    const kept: QueueEntry[] = [];
    let isBlocked = false;
    for (const entry of this.#entries) {
      if (!isBlocked && entry.waiter.tryStart()) continue;
      kept.push(entry);
      isBlocked ||= kept.length > MAX_OVERTAKEN ||
        nowMs - entry.sinceMs > OVERTAKABLE_FOR_MS;
    }
    this.#entries = kept;
  }

  /** Refuses waiters whose wait has expired. */
  expire(): void {
    const nowMs = this.#clock.nowMs();
    if (!this.#entries.some(({ waiter }) => waiter.untilMs <= nowMs)) return;
    const expired = this.#entries.filter(({ waiter }) =>
      waiter.untilMs <= nowMs
    );
    this.#entries = this.#entries.filter(({ waiter }) =>
      waiter.untilMs > nowMs
    );
    for (const { waiter } of expired) waiter.refuse();
  }

  /** Removes a waiter whose caller has disconnected. */
  remove(waiter: Waiter): void {
    this.#entries = this.#entries.filter((entry) => entry.waiter !== waiter);
  }
}

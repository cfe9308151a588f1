/**
 * Bounds the queries that a host sends for late events. Events are late on all
 * streams when targets are overloaded, which queries for each of them would make
 * worse.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { QueryBudget } from "../paths/stage_checker.ts";

const WINDOW_MS = 1_000;
/** Queries in a window beyond one for each stream. */
const SPARE_QUERIES = 5;
/**
 * Queries saved while none is sent, so that a host with few streams can check a
 * whole path of 17 targets at once: a dead one is found as soon as ever.
 */
const MAX_SAVED_QUERIES = 30;

export interface CheckBudgetOptions {
  readonly clock: Clock;
  /** Number of streams in progress. */
  readonly streams: () => number;
}

/**
 * Counts queries over a sliding window. What was not used in a time without
 * queries may be used beyond the limit of the window, so the mean rate stays
 * within the limit, and every window does while events stay late.
 */
export class CheckBudget implements QueryBudget {
  readonly #options: CheckBudgetOptions;
  /** Oldest first. */
  readonly #sentMs: number[] = [];
  #lastMs = -Infinity;
  #saved = 0;

  constructor(options: CheckBudgetOptions) {
    this.#options = options;
  }

  get hasRoom(): boolean {
    return this.#hasRoomInWindow || this.#savedNow >= 1;
  }

  tryAcquire(): boolean {
    if (!this.hasRoom) return false;
    const saved = this.#savedNow;
    const isSaved = !this.#hasRoomInWindow;
    this.record();
    this.#saved = isSaved ? saved - 1 : saved;
    return true;
  }

  record(): void {
    this.#saved = this.#savedNow;
    this.#lastMs = this.#options.clock.nowMs();
    this.#sentMs.push(this.#lastMs);
  }

  get #limit(): number {
    return this.#options.streams() + SPARE_QUERIES;
  }

  get #hasRoomInWindow(): boolean {
    const sinceMs = this.#options.clock.nowMs() - WINDOW_MS;
    while (this.#sentMs.length > 0 && this.#sentMs[0] <= sinceMs) {
      this.#sentMs.shift();
    }
    return this.#sentMs.length < this.#limit;
  }

  get #savedNow(): number {
    const unusedMs = this.#options.clock.nowMs() - this.#lastMs - WINDOW_MS;
    const unused = Math.max(0, unusedMs) / 1_000 * this.#limit;
    return Math.min(MAX_SAVED_QUERIES, this.#saved + unused);
  }
}

/**
 * Baseline of the wait queue: waiters are ordered by rank and time of arrival,
 * and refused when their wait expires or the queue is full.
 *
 * @module
 */

import type { Waiter } from "../../src/admission/wait_queue.ts";
import type { Clock } from "../../src/common/clock.ts";

const MAX_OVERTAKEN = 6;
const OVERTAKABLE_FOR_MS = 250;

interface RankedEntry {
  readonly waiter: Pick<Waiter, "rank" | "untilMs" | "tryStart">;
  readonly refuse: () => void;
  readonly sinceMs: number;
}

export interface RankedQueueOptions {
  readonly clock: Clock;
  readonly maxWaiting: number;
}

export class RankedQueue {
  readonly #options: RankedQueueOptions;
  #entries: RankedEntry[] = [];

  constructor(options: RankedQueueOptions) {
    this.#options = options;
  }

  add(waiter: RankedEntry["waiter"], refuse: () => void): void {
    const isBehind = this.#entries.some(({ waiter: { rank } }) =>
      rank <= waiter.rank
    );
    if (!isBehind && waiter.tryStart()) return;
    const sinceMs = this.#options.clock.nowMs();
    this.#entries.push({ waiter, refuse, sinceMs });
    this.#entries.sort((a, b) => a.waiter.rank - b.waiter.rank);
    if (this.#entries.length > this.#options.maxWaiting) {
      this.#entries.pop()?.refuse();
    }
    if (isBehind) this.dispatch();
  }

  dispatch(): void {
    this.expire();
    const nowMs = this.#options.clock.nowMs();
    let isBlocked = false;
    const kept: RankedEntry[] = [];
    for (const entry of this.#entries) {
      if (!isBlocked && entry.waiter.tryStart()) continue;
      kept.push(entry);
      isBlocked ||= kept.length > MAX_OVERTAKEN ||
        nowMs - entry.sinceMs > OVERTAKABLE_FOR_MS;
    }
    this.#entries = kept;
  }

  expire(): void {
    const nowMs = this.#options.clock.nowMs();
    const expired = this.#entries.filter(({ waiter }) =>
      waiter.untilMs <= nowMs
    );
    this.#entries = this.#entries.filter(({ waiter }) =>
      waiter.untilMs > nowMs
    );
    for (const { refuse } of expired) refuse();
  }
}

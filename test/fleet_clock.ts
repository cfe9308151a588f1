/**
 * Virtual time for thousands of hosts in one process, and a view of it that a
 * test can pause for one host.
 *
 * @module
 */

import type { Clock } from "../src/common/clock.ts";

const WALL_OFFSET_MS = 1_700_000_000_000;

interface Sleeper {
  readonly atMs: number;
  readonly order: number;
  readonly wake: () => void;
}

/** A clock that wakes sleepers in order of time from a heap. */
export class FleetClock implements Clock {
  #nowMs = 1_000;
  #order = 0;
  readonly #heap: Sleeper[] = [];

  nowMs(): number {
    return this.#nowMs;
  }

  wallMs(): number {
    return WALL_OFFSET_MS + this.#nowMs;
  }

  sleep(waitMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      signal?.addEventListener("abort", finish, { once: true });
      const atMs = this.#nowMs + Math.max(0, waitMs);
      this.#push({ atMs, order: this.#order++, wake: finish });
      function finish(): void {
        signal?.removeEventListener("abort", finish);
        resolve();
      }
    });
  }

  /** Runs everything that is due within `spanMs`. */
  async advance(durationMs: number): Promise<void> {
    const untilMs = this.#nowMs + durationMs;
    await settle();
    while (this.#heap.length > 0 && this.#heap[0].atMs <= untilMs) {
      this.#nowMs = Math.max(this.#nowMs, this.#heap[0].atMs);
      while (this.#heap.length > 0 && this.#heap[0].atMs <= this.#nowMs) {
        this.#pop().wake();
      }
      await settle();
    }
    this.#nowMs = untilMs;
  }

  #push(sleeper: Sleeper): void {
    const heap = this.#heap;
    let index = heap.push(sleeper) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(sleeper, heap[parent])) break;
      heap[index] = heap[parent];
      index = parent;
    }
    heap[index] = sleeper;
  }

  #pop(): Sleeper {
    const heap = this.#heap;
    const top = heap[0];
    const last = heap.pop() as Sleeper;
    if (heap.length === 0) return top;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isBefore(heap[child + 1], heap[child])) {
        child += 1;
      }
      if (!isBefore(heap[child], last)) break;
      heap[index] = heap[child];
      index = child;
    }
    heap[index] = last;
    return top;
  }
}

/** The clock of one host; while it is paused, none of its sleeps return. */
export class HostClock implements Clock {
  #resumed: Promise<void> | undefined;

  constructor(readonly base: Clock) {}

  get isPaused(): boolean {
    return this.#resumed !== undefined;
  }

  nowMs(): number {
    return this.base.nowMs();
  }

  wallMs(): number {
    return this.base.wallMs();
  }

  async sleep(waitMs: number, signal?: AbortSignal): Promise<void> {
    await this.base.sleep(waitMs, signal);
    await this.untilRunning();
  }

  /** Resolves at once unless the host is paused. */
  async untilRunning(): Promise<void> {
    while (this.#resumed !== undefined) await this.#resumed;
  }

  /** Pauses the host for a time. */
  async pause(durationMs: number): Promise<void> {
    const ended = this.base.sleep(durationMs);
    this.#resumed = ended;
    await ended;
    this.#resumed = undefined;
  }
}

function isBefore(one: Sleeper, other: Sleeper): boolean {
  return one.atMs < other.atMs ||
    (one.atMs === other.atMs && one.order < other.order);
}

/** Lets all pending promise callbacks run. */
function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/**
 * A clock that a test moves by hand, and a network-free way to run a whole
 * scenario to its end in virtual time.
 *
 * @module
 */

import type { Clock } from "../src/common/clock.ts";

interface Sleeper {
  readonly atMs: number;
  readonly wake: () => void;
}

/** Virtual time: it moves only when `advance` or `runUntil` moves it. */
export class ManualClock implements Clock {
  #nowMs = 1_000;
  #sleepers: Sleeper[] = [];

  /** Offset of wall time; shared by hosts of a test unless they differ on purpose. */
  constructor(readonly wallOffsetMs = 1_700_000_000_000) {}

  nowMs(): number {
    return this.#nowMs;
  }

  wallMs(): number {
    return this.wallOffsetMs + this.#nowMs;
  }

  sleep(waitMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const sleeper = { atMs: this.#nowMs + Math.max(0, waitMs), wake };
      this.#insert(sleeper);
      signal?.addEventListener("abort", wake, { once: true });
      const sleepers = () => this.#sleepers;
      function wake(): void {
        const index = sleepers().indexOf(sleeper);
        if (index >= 0) sleepers().splice(index, 1);
        signal?.removeEventListener("abort", wake);
        resolve();
      }
    });
  }

  /** Lets every sleeper due within `spanMs` run, in order of time. */
  async advance(durationMs: number): Promise<void> {
    const untilMs = this.#nowMs + durationMs;
    await settle();
    while (this.#sleepers.length > 0 && this.#sleepers[0].atMs <= untilMs) {
      await this.#wakeNext();
    }
    this.#nowMs = untilMs;
    await settle();
  }

  /** Moves time until `work` settles; throws after `limitMs` of virtual time. */
  async runUntil<T>(work: Promise<T>, timeoutMs = 3_600_000): Promise<T> {
    const untilMs = this.#nowMs + timeoutMs;
    let settled = false;
    const observed = work.finally(() => settled = true);
    observed.catch(() => {});
    await settle();
    while (!settled) {
      if (this.#sleepers.length === 0) {
        throw new Error("the scenario waits for nothing on the clock");
      }
      if (this.#sleepers[0].atMs > untilMs) {
        throw new Error(`not settled within ${timeoutMs} ms`);
      }
      await this.#wakeNext();
    }
    return observed;
  }

  async #wakeNext(): Promise<void> {
    const next = this.#sleepers[0];
    this.#nowMs = Math.max(this.#nowMs, next.atMs);
    next.wake();
    await settle();
  }

  #insert(sleeper: Sleeper): void {
    const index = this.#sleepers.findIndex((other) =>
      other.atMs > sleeper.atMs
    );
    if (index < 0) this.#sleepers.push(sleeper);
    else this.#sleepers.splice(index, 0, sleeper);
  }
}

/** Lets all pending promise callbacks run. */
export function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

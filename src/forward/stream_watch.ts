/**
 * Looks at all streams of a host at short intervals, so that one timer serves
 * them all.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";

/** Time between looks; a stalled stream is found at most this much later. */
const LOOK_MS = 25;

/** A stream that wants to be looked at. */
export interface WatchedStream {
  /** Called at each look. */
  look(nowMs: number): void;
}

/** Options of a watch. */
export interface StreamWatchOptions {
  readonly clock: Clock;
  /** Called at each look, also without streams. */
  readonly onLook?: () => void;
}

/** Streams in progress. */
export class StreamWatch {
  readonly #options: StreamWatchOptions;
  readonly #streams = new Set<WatchedStream>();

  constructor(options: StreamWatchOptions) {
    this.#options = options;
  }

  get size(): number {
    return this.#streams.size;
  }

  add(stream: WatchedStream): void {
    this.#streams.add(stream);
  }

  remove(stream: WatchedStream): void {
    this.#streams.delete(stream);
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, onLook } = this.#options;
    while (!signal.aborted) {
      await clock.sleep(LOOK_MS, signal);
      const nowMs = clock.nowMs();
      for (const stream of [...this.#streams]) stream.look(nowMs);
      onLook?.();
    }
  }
}

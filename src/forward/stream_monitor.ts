/**
 * Looks at all streams of a host at short intervals, so that one timer serves
 * them all.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";

/** Time between looks; a stalled stream is found at most this much later. */
const CHECK_INTERVAL_MS = 25;

/** A stream that wants to be looked at. */
export interface MonitoredStream {
  /** Called at each look. */
  checkProgress(nowMs: number): void;
}

/** Options of a watch. */
export interface StreamMonitorOptions {
  readonly clock: Clock;
  /** Called at each look, also without streams. */
  readonly onTick?: () => void;
}

/** Streams in progress. */
export class StreamMonitor {
  readonly #options: StreamMonitorOptions;
  readonly #streams = new Set<MonitoredStream>();

  constructor(options: StreamMonitorOptions) {
    this.#options = options;
  }

  get size(): number {
    return this.#streams.size;
  }

  add(stream: MonitoredStream): void {
    this.#streams.add(stream);
  }

  remove(stream: MonitoredStream): void {
    this.#streams.delete(stream);
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, onTick: onTick } = this.#options;
    while (!signal.aborted) {
      await clock.sleep(CHECK_INTERVAL_MS, signal);
      const nowMs = clock.nowMs();
      for (const stream of [...this.#streams]) stream.checkProgress(nowMs);
      onTick?.();
    }
  }
}

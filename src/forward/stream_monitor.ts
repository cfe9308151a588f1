/**
 * Checks all streams of a host for stalls at short intervals, with one timer for
 * all of them.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { CheckBackoff } from "./check_backoff.ts";
import { CheckBudget } from "./check_budget.ts";

/** A stalled stream is detected at most this much later. */
const CHECK_INTERVAL_MS = 25;

export interface MonitoredStream {
  /** Called at each check; `nowMs` is the time of the monitor's clock. */
  checkProgress(nowMs: number): void;
}

export interface StreamMonitorOptions {
  readonly clock: Clock;
  /** Called after each check, also without streams. */
  readonly onTick?: () => void;
}

export class StreamMonitor {
  readonly #options: StreamMonitorOptions;
  readonly #streams = new Set<MonitoredStream>();
  /** Shared by the streams, which wait longer while checks find nothing. */
  readonly backoff: CheckBackoff;
  /** Shared by the streams, whose checks send at most so many queries. */
  readonly budget: CheckBudget;

  constructor(options: StreamMonitorOptions) {
    this.#options = options;
    const { clock } = options;
    this.backoff = new CheckBackoff({ clock });
    this.budget = new CheckBudget({ clock, streams: () => this.size });
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
    const { clock, onTick } = this.#options;
    while (!signal.aborted) {
      await clock.sleep(CHECK_INTERVAL_MS, signal);
      const nowMs = clock.nowMs();
      for (const stream of [...this.#streams]) stream.checkProgress(nowMs);
      onTick?.();
    }
  }
}

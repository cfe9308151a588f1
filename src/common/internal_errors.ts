/**
 * Keeps a process running after an error that no code handled: it ends the work
 * that threw it, not the requests of all others. Errors that follow each other so
 * closely that promises no longer go on end the process, which could neither
 * serve a request nor drain.
 *
 * @module
 */

import type { EventEmitter } from "node:events";
import type { IMetrics } from "./bucket_metrics.ts";
import { type Clock, systemClock } from "./clock.ts";
import type { ILog } from "./logging.ts";

const EVENTS = ["uncaughtException", "unhandledRejection"] as const;

/** In each interval, only this many errors are logged. */
const MAX_LOGGED = 5;
const LOG_INTERVAL_MS = 10_000;
/** A process is wedged if no promise went on for this long and so many errors. */
const WEDGED_MS = 3_000;
const WEDGED_ERRORS = 1_000;

export interface InternalErrorOptions {
  /** Emits the events of `process`. */
  readonly source: Pick<EventEmitter, "on">;
  readonly log: ILog;
  readonly metrics: Pick<IMetrics, "count">;
  readonly clock?: Clock;
  /** Ends the process; called if errors leave no turn to anything else. */
  readonly end: () => void;
}

/** Counts errors that no code handled, and logs them at a bounded rate. */
export function handleInternalErrors(options: InternalErrorOptions): void {
  const { source, log, metrics, end } = options;
  const clock = options.clock ?? systemClock;
  let intervalEndMs = -Infinity;
  let logged = 0;
  let suppressed = 0;
  let errorsSinceTurn = 0;
  let turnDueMs = Infinity;

  function report(event: string, error: unknown): void {
    const nowMs = clock.nowMs();
    if (nowMs >= intervalEndMs) {
      intervalEndMs = nowMs + LOG_INTERVAL_MS;
      logged = 0;
    }
    if (logged >= MAX_LOGGED) {
      suppressed++;
      return;
    }
    logged++;
    log.error("internal error", {
      kind: event,
      reason: describe(error),
      suppressed,
    });
    suppressed = 0;
  }

  function endIfWedged(): void {
    if (errorsSinceTurn++ === 0) {
      turnDueMs = clock.nowMs() + WEDGED_MS;
      void clock.sleep(0).then(() => errorsSinceTurn = 0);
    }
    if (errorsSinceTurn < WEDGED_ERRORS || clock.nowMs() < turnDueMs) return;
    log.error("ending: internal errors block all requests", {
      errors: errorsSinceTurn,
    });
    end();
  }

  for (const event of EVENTS) {
    source.on(event, (error: unknown) => {
      metrics.count("jackdawshift_internal_errors_total", { event });
      report(event, error);
      endIfWedged();
    });
  }
}

/** Stack or text of an error; never throws, whatever was thrown. */
function describe(error: unknown): string {
  try {
    const stack = error instanceof Error ? error.stack : undefined;
    return String(stack ?? error);
  } catch {
    return "an error that cannot be described";
  }
}

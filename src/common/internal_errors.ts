/**
 * Keeps a process running after an error that no code handled: it ends the work
 * that threw it, not the requests of all others.
 *
 * @module
 */

import type { EventEmitter } from "node:events";
import type { IMetrics } from "./bucket_metrics.ts";
import type { ILog } from "./logging.ts";

const EVENTS = ["uncaughtException", "unhandledRejection"] as const;

export interface InternalErrorOptions {
  /** Emits the events of `process`. */
  readonly source: Pick<EventEmitter, "on">;
  readonly log: ILog;
  readonly metrics: Pick<IMetrics, "count">;
}

/** Logs and counts errors that no code handled. */
export function handleInternalErrors(
  { source, log, metrics }: InternalErrorOptions,
): void {
  for (const event of EVENTS) {
    source.on(event, (error: unknown) => {
      metrics.count("jackdawshift_internal_errors_total", { event });
      const stack = error instanceof Error ? error.stack : undefined;
      log.error("internal error", { event, reason: stack ?? String(error) });
    });
  }
}

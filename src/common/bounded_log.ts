/**
 * Non-blocking structured log: one JSON object per line, written through a
 * bounded buffer. Lines are dropped while the buffer is full or the output fails,
 * and the number of dropped lines is logged once lines are written again.
 *
 * @module
 */

import type { Writable } from "node:stream";
import { type DroppedLines, LineWriter } from "./line_writer.ts";
import type { ILog } from "./logging.ts";

export interface BoundedLogOptions {
  readonly host: string;
  readonly output: Writable;
  readonly wallMs?: () => number;
  /** Lines are dropped while more than this many bytes are buffered. */
  readonly bufferBytes?: number;
  /** Called for each dropped line with its cause: an error code or `stalled`. */
  readonly onDrop?: (cause: string) => void;
}

/**
 * Creates a log that never throws and never blocks its caller; debug lines are
 * discarded.
 */
export function createBoundedLog(options: BoundedLogOptions): ILog {
  const { output, host, bufferBytes, onDrop } = options;
  const wallMs = options.wallMs ?? Date.now;
  const writer = new LineWriter({ output, bufferBytes, onDrop, formatNotice });

  function formatNotice(dropped: DroppedLines): string {
    return format("warn", "log lines dropped", {
      count: Object.values(dropped).reduce((sum, count) => sum + count, 0),
      causes: dropped,
    });
  }

  function format(
    level: string,
    event: string,
    fields: Readonly<Record<string, unknown>> = {},
  ): string {
    const head = { at: wallMs(), level, host, event };
    try {
      return `${JSON.stringify({ ...head, ...fields }, serializeError)}\n`;
    } catch (error) {
      const unserializable = String(error);
      return `${JSON.stringify({ ...head, unserializable })}\n`;
    }
  }

  return {
    debug: () => {},
    info: (event, fields) => writer.write(format("info", event, fields)),
    warn: (event, fields) => writer.write(format("warn", event, fields)),
    error: (event, fields) => writer.write(format("error", event, fields)),
  };
}

function serializeError(_key: string, value: unknown): unknown {
  return value instanceof Error ? value.stack ?? value.message : value;
}

/**
 * Non-blocking structured log: one JSON object per line, written through a
 * bounded buffer. Lines are dropped while the buffer is full, and the number
 * of dropped lines is logged before the next line that is written.
 *
 * @module
 */

import type { Writable } from "node:stream";
import type { ILog } from "./logging.ts";

/** Limits the memory used while the reader of the output is stalled. */
const DEFAULT_MAX_BUFFERED_BYTES = 256 * 1024;

export interface BoundedLogOptions {
  readonly host: string;
  readonly output: Writable;
  readonly wallMs?: () => number;
  /** Lines are dropped while more than this many bytes are buffered. */
  readonly bufferBytes?: number;
  /** Called for each dropped line. */
  readonly onDrop?: () => void;
}

/** Creates a log that never blocks its caller; debug lines are discarded. */
export function createBoundedLog(options: BoundedLogOptions): ILog {
  const { output, host } = options;
  const wallMs = options.wallMs ?? Date.now;
  const maxBufferedBytes = options.bufferBytes ?? DEFAULT_MAX_BUFFERED_BYTES;
  let dropped = 0;

  function write(
    level: string,
    message: string,
    fields: Readonly<Record<string, unknown>> = {},
  ): void {
    if (output.writableLength > maxBufferedBytes) {
      dropped++;
      options.onDrop?.();
      return;
    }
    if (dropped > 0) {
      const dropNotice = {
        at: wallMs(),
        level: "warn",
        host,
        event: "log lines dropped",
        count: dropped,
      };
      dropped = 0;
      output.write(`${JSON.stringify(dropNotice)}\n`);
    }
    const line = { at: wallMs(), level, host, event: message, ...fields };
    output.write(`${JSON.stringify(line, serializeError)}\n`);
  }

  return {
    debug: () => {},
    info: (message, fields) => write("info", message, fields),
    warn: (message, fields) => write("warn", message, fields),
    error: (message, fields) => write("error", message, fields),
  };
}

function serializeError(_key: string, value: unknown): unknown {
  return value instanceof Error ? value.stack ?? value.message : value;
}

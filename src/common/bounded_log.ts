/**
 * Structured logs for a host that must not wait for its output: one JSON
 * object a line, through a bounded buffer. Lines that find it full are dropped
 * and counted, and the count is told with the next line that gets through.
 *
 * @module
 */

import type { Writable } from "node:stream";
import type { ILog } from "./logging.ts";

/** Most bytes that wait for the output; a stalled reader costs no more memory. */
const DEFAULT_MAX_BUFFERED_BYTES = 256 * 1024;

/** Options of a log of lines. */
export interface BoundedLogOptions {
  readonly host: string;
  readonly output: Writable;
  readonly wallMs?: () => number;
  readonly bufferBytes?: number;
  /** Called for each dropped line. */
  readonly onDrop?: () => void;
}

/** Makes a log that never blocks its caller. */
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

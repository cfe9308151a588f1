/**
 * Ends the process with a last line.
 *
 * @module
 */

import type { Writable } from "node:stream";

/** Maximum wait for the reader of the output. */
const WRITE_TIMEOUT_MS = 200;

/** Ends the process with code 0, also if the line cannot be written. */
export function exitAfterLine(output: Writable, line: string): void {
  const exit = () => process.exit(0);
  setTimeout(exit, WRITE_TIMEOUT_MS);
  output.on("error", exit);
  output.write(`${line}\n`, exit);
}

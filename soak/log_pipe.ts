/**
 * A named pipe as the output of a host, with a reader that copies it to a file,
 * stalls, or goes away and comes back.
 *
 * @module
 */

import { execFileSync } from "node:child_process";
import { closeSync, constants, createWriteStream, openSync } from "node:fs";
import { Socket } from "node:net";

export class LogPipe {
  readonly #path: string;
  readonly #logPath: string;
  #reader: Socket | undefined;

  constructor(path: string, logPath: string) {
    this.#path = path;
    this.#logPath = logPath;
    execFileSync("mkfifo", [path]);
  }

  /** Starts to read, also after `dispose`. */
  read(): void {
    // As a writer, too, it stays open while no process writes.
    const flags = constants.O_RDWR | constants.O_NONBLOCK;
    this.#reader = new Socket({ fd: openSync(this.#path, flags) });
    this.#reader.pipe(createWriteStream(this.#logPath, { flags: "a" }));
  }

  stall(): void {
    this.#reader?.unpipe();
    this.#reader?.pause();
  }

  /** Calls `use` with a descriptor of the writing end. */
  write(use: (descriptor: number) => void): void {
    const descriptor = openSync(
      this.#path,
      constants.O_WRONLY | constants.O_NONBLOCK,
    );
    use(descriptor);
    closeSync(descriptor);
  }

  /** The reader goes away: writes to the pipe fail. */
  dispose(): void {
    this.#reader?.destroy();
    this.#reader = undefined;
  }
}

/**
 * Writes the lines of a log to an output that may fail, stall and recover. A line
 * that cannot be written is dropped and counted by cause. An output that fails is
 * tried again at a bounded rate, with a line that tells what was lost.
 *
 * @module
 */

import type { Writable } from "node:stream";

/** Limits the memory used while the reader of the output is stalled. */
const DEFAULT_MAX_BUFFERED_BYTES = 256 * 1024;
const RETRY_INTERVAL_MS = 1_000;

/** Dropped lines by cause: the error code of the output, or `stalled`. */
export type DroppedLines = Readonly<Record<string, number>>;

export interface LineWriterOptions {
  readonly output: Writable;
  /** Returns the line, with its line break, that tells of dropped lines. */
  readonly formatNotice: (dropped: DroppedLines) => string;
  /** Called for each dropped line. */
  readonly onDrop?: (cause: string) => void;
  /** Lines are dropped while more than this many bytes are buffered. */
  readonly bufferBytes?: number;
  /** Runs a task once after a wait; does not keep the process alive. */
  readonly schedule?: (task: () => void, waitMs: number) => void;
}

export class LineWriter {
  readonly #options: LineWriterOptions;
  readonly #maxBufferedBytes: number;
  readonly #schedule: (task: () => void, waitMs: number) => void;
  /** Not yet told in a line that was written. */
  #dropped: DroppedLines = {};
  /** Why the output failed; undefined while it works. */
  #failure: string | undefined;
  #isRetryScheduled = false;

  constructor(options: LineWriterOptions) {
    this.#options = options;
    this.#maxBufferedBytes = options.bufferBytes ?? DEFAULT_MAX_BUFFERED_BYTES;
    this.#schedule = options.schedule ?? scheduleUnref;
    // Without a listener, an error event would end the process.
    options.output.on("error", (error) => this.#fail(causeOf(error)));
  }

  /** Never throws and never waits; `line` ends in a line break. */
  write(line: string): void {
    if (this.#failure !== undefined) {
      this.#drop(this.#failure);
    } else if (this.#isStalled) {
      this.#drop("stalled");
    } else {
      this.#writeNotice();
      this.#send(line, (cause) => this.#drop(cause));
    }
  }

  get #isStalled(): boolean {
    return this.#options.output.writableLength > this.#maxBufferedBytes;
  }

  #send(text: string, onFailure: (cause: string) => void): void {
    const onWritten = (error?: Error | null): void => {
      if (error === undefined || error === null) {
        this.#failure = undefined;
        return;
      }
      const cause = causeOf(error);
      onFailure(cause);
      this.#fail(cause);
    };
    try {
      this.#options.output.write(text, onWritten);
    } catch (error) {
      onWritten(error instanceof Error ? error : new Error(String(error)));
    }
  }

  #drop(cause: string): void {
    this.#dropped = sumOf(this.#dropped, { [cause]: 1 });
    this.#options.onDrop?.(cause);
    this.#scheduleRetry();
  }

  #fail(cause: string): void {
    this.#failure = cause;
    this.#scheduleRetry();
  }

  #scheduleRetry(): void {
    if (this.#isRetryScheduled) return;
    this.#isRetryScheduled = true;
    this.#schedule(() => {
      this.#isRetryScheduled = false;
      if (this.#isStalled) this.#scheduleRetry();
      else this.#writeNotice();
    }, RETRY_INTERVAL_MS);
  }

  #writeNotice(): void {
    const dropped = this.#dropped;
    const isFailed = this.#failure !== undefined;
    if (!isFailed && Object.keys(dropped).length === 0) return;
    this.#dropped = {};
    // The line before the failure may lack its end.
    const start = isFailed ? "\n" : "";
    this.#send(start + this.#options.formatNotice(dropped), () => {
      this.#dropped = sumOf(this.#dropped, dropped);
    });
  }
}

/** Under which cause lines that an error lost are counted. */
export function causeOf(error: Error): string {
  return (error as NodeJS.ErrnoException).code ?? error.name;
}

function sumOf(a: DroppedLines, b: DroppedLines): DroppedLines {
  const sum = { ...a };
  for (const [cause, count] of Object.entries(b)) {
    sum[cause] = (sum[cause] ?? 0) + count;
  }
  return sum;
}

function scheduleUnref(task: () => void, waitMs: number): void {
  setTimeout(task, waitMs).unref();
}

/**
 * A completion's answer on its way to the caller as server-sent events. All
 * tokens that arrive together leave in one event and one write.
 *
 * @module
 */

import type { Response } from "restify";
import type { Failure } from "../common/verdict.ts";
import type { AnswerToken } from "../requests/types.ts";

const END_EVENT = "data: [DONE]\n\n";

/** Options of a stream. */
export interface CompletionStreamOptions {
  readonly response: Response;
  /** Renders an event from text and finish reason. */
  readonly formatEvent: (text: string, finishReason: string | null) => string;
  /** Bytes that may wait for a slow reader before the stream is given up. */
  readonly maxBufferedBytes: number;
  /** Called once when the reader is too slow. */
  readonly onOverflow: () => void;
}

/** Writes one streamed answer. */
export class CompletionStream {
  readonly #options: CompletionStreamOptions;
  #started = false;
  #overflowed = false;

  constructor(options: CompletionStreamOptions) {
    this.#options = options;
  }

  /** True once the status line has been sent, after which no refusal is possible. */
  get isStarted(): boolean {
    return this.#started;
  }

  write(tokens: readonly AnswerToken[]): void {
    if (this.#overflowed || this.#options.response.destroyed) return;
    this.#writeHead();
    let text = "";
    for (const token of tokens) text += token.text;
    this.#options.response.write(this.#options.formatEvent(text, null));
    this.#checkBufferedBytes();
  }

  /** Ends a whole answer with the explicit end event. */
  end(finishReason: string): void {
    this.#writeHead();
    this.#options.response.end(
      this.#options.formatEvent("", finishReason) + END_EVENT,
    );
  }

  /** Tells the failure and breaks the connection, so that no cut answer looks whole. */
  abort(failure: Failure, requestId: string): void {
    const { code, verdict, message } = failure;
    const event = JSON.stringify({
      error: { code, verdict, message, requestId },
    });
    const { response } = this.#options;
    if (response.destroyed) return;
    response.write(
      `event: error\ndata: ${event}\n\n`,
      () => response.destroy(),
    );
  }

  #writeHead(): void {
    if (this.#started) return;
    this.#started = true;
    this.#options.response.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-store",
    });
  }

  #checkBufferedBytes(): void {
    if (
      this.#options.response.writableLength <= this.#options.maxBufferedBytes
    ) return;
    this.#overflowed = true;
    this.#options.onOverflow();
  }
}

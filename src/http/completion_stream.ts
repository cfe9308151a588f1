/**
 * Sends a completion to the caller as server-sent events. Tokens that arrive
 * together are sent in one event and one write.
 *
 * @module
 */

import type { Response } from "restify";
import type { Failure } from "../common/verdict.ts";
import type { AnswerToken } from "../requests/types.ts";

const END_EVENT = "data: [DONE]\n\n";

export interface CompletionStreamOptions {
  readonly response: Response;
  /** Formats an event with a text and a finish reason. */
  readonly formatEvent: (text: string, finishReason: string | null) => string;
  /** Limit on bytes buffered for a slow reader; beyond it, no more are written. */
  readonly maxBufferedBytes: number;
  /** Called once when `maxBufferedBytes` is exceeded. */
  readonly onOverflow: () => void;
}

export class CompletionStream {
  readonly #options: CompletionStreamOptions;
  #started = false;
  #overflowed = false;

  constructor(options: CompletionStreamOptions) {
    this.#options = options;
  }

  /** True once the header has been written; the status can't be changed any more. */
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

  /** Ends a complete response with the explicit end event. */
  end(finishReason: string): void {
    this.#writeHead();
    this.#options.response.end(
      this.#options.formatEvent("", finishReason) + END_EVENT,
    );
  }

  /** Sends the failure and closes the connection: a truncated response must not look complete. */
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

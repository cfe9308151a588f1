/**
 * The response of a streaming call to its caller, which may be joined from the
 * responses of several targets.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { Exchange } from "./exchange.ts";
import { readResponseBody, responseHeaders } from "./response.ts";
import type { SendOutcome } from "./upstream.ts";

type UpstreamResponse = Extract<SendOutcome, { readonly kind: "answer" }>;

export interface StreamResponseOptions {
  readonly exchange: Exchange;
  /** Headers of this host that go with the head of an answer, as names and values. */
  readonly ownHeaders?: (answer: IncomingMessage) => readonly string[];
}

/** Writes the head once, then events in order. */
export class StreamResponse {
  readonly #exchange: Exchange;
  readonly #ownHeaders: (answer: IncomingMessage) => readonly string[];
  #isHeadSent = false;
  #lastEventId: number | undefined;
  #firstEventMs: number | undefined;
  #progressMs = 0;

  constructor({ exchange, ownHeaders }: StreamResponseOptions) {
    this.#exchange = exchange;
    this.#ownHeaders = ownHeaders ?? (() => []);
    this.#lastEventId = exchange.metadata.lastEventId;
  }

  get isHeadSent(): boolean {
    return this.#isHeadSent;
  }

  /** Id of the last event that was forwarded, or that the caller already has. */
  get lastEventId(): number | undefined {
    return this.#lastEventId;
  }

  /** Time from the request's arrival to its first event. */
  get firstEventMs(): number | undefined {
    return this.#firstEventMs;
  }

  /** Time from the request's arrival to its last event; 0 before the first. */
  get progressMs(): number {
    return this.#progressMs;
  }

  /** Returns false on backpressure. */
  forwardEvents(
    answer: IncomingMessage,
    bytes: Buffer,
    lastId: number | undefined,
  ): boolean {
    if (this.#exchange.isDisconnected) return true;
    this.#progressMs = this.#exchange.ageMs;
    if (!this.#isHeadSent) {
      // Without a length, the body is chunked, whatever framing the target used.
      this.#exchange.writeHead(200, this.#headersOf(answer));
      this.#isHeadSent = true;
      this.#firstEventMs = this.#progressMs;
    }
    this.#lastEventId = lastId;
    return this.#exchange.response.write(bytes);
  }

  /**
   * Forwards a response that is not a stream, if it is complete. Returns why it
   * could not be forwarded, or undefined.
   */
  async forwardWhole(
    outcome: UpstreamResponse,
    status: number,
  ): Promise<string | undefined> {
    const body = await readResponseBody(outcome);
    if (body === undefined) return "response truncated or too large";
    if (this.#isHeadSent) return `status ${status} on resume`;
    if (!this.#exchange.isDisconnected) {
      const headers = [
        ...this.#headersOf(outcome.answer),
        "Content-Length",
        String(body.length),
      ];
      this.#exchange.answer(status, headers, body);
      this.#isHeadSent = true;
    }
    return undefined;
  }

  #headersOf(answer: IncomingMessage): string[] {
    return [...responseHeaders(answer), ...this.#ownHeaders(answer)];
  }

  /**
   * Ends the response as complete. Returns why it could not be ended so, or
   * undefined.
   */
  end(): string | undefined {
    if (this.#exchange.isDisconnected) return undefined;
    if (!this.#isHeadSent) return "stream ended without an event";
    this.#exchange.response.end();
    return undefined;
  }
}

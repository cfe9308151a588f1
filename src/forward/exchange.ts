/**
 * One caller's request and the answer to it. The answer is written once, and
 * the signal aborts when the caller leaves before it is whole.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock } from "../common/clock.ts";
import type { RequestMetadata } from "../ports/types.ts";

/** Options of an exchange. */
export interface ExchangeOptions {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly marks: RequestMetadata;
  readonly clock: Clock;
  /** The connection is not kept after the answer. */
  readonly isClosing: () => boolean;
}

/** How the body of a request was read. */
export type BodyOutcome =
  | { readonly kind: "whole"; readonly body: Buffer | undefined }
  | { readonly kind: "too-large" }
  | { readonly kind: "late" }
  | { readonly kind: "left" };

/** A request in progress. */
export class Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly marks: RequestMetadata;
  readonly receivedMs: number;
  body: Buffer | undefined;
  readonly #clock: Clock;
  readonly #isClosing: () => boolean;
  readonly #abort = new AbortController();

  constructor(options: ExchangeOptions) {
    this.request = options.request;
    this.response = options.response;
    this.marks = options.marks;
    this.#clock = options.clock;
    this.#isClosing = options.isClosing;
    this.receivedMs = options.clock.nowMs();
    this.response.on("close", () => {
      if (!this.response.writableFinished) this.#abort.abort();
    });
    this.response.on("error", () => this.#abort.abort());
  }

  /** Aborts when the caller leaves. */
  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  get isDisconnected(): boolean {
    return this.#abort.signal.aborted;
  }

  get ageMs(): number {
    return this.#clock.nowMs() - this.receivedMs;
  }

  /** Reads the body whole; a request without one has an undefined body. */
  readBody(limitBytes: number, deadlineMs: number): Promise<BodyOutcome> {
    const { request } = this;
    const declared = Number(request.headers["content-length"] ?? 0);
    if (declared > limitBytes) return Promise.resolve({ kind: "too-large" });
    const hasBody = declared > 0 ||
      request.headers["transfer-encoding"] !== undefined ||
      request.headers["content-length"] !== undefined;
    return new Promise((resolve) => {
      const chunks: Buffer[] = [];
      let sizeBytes = 0;
      const timer = setTimeout(
        () => resolve({ kind: "late" }),
        deadlineMs - this.#clock.nowMs(),
      );
      request.on("close", () => clearTimeout(timer));
      request.on("data", (chunk: Buffer) => {
        sizeBytes += chunk.length;
        if (sizeBytes > limitBytes) resolve({ kind: "too-large" });
        else chunks.push(chunk);
      });
      request.on("end", () => {
        clearTimeout(timer);
        this.body = hasBody ? Buffer.concat(chunks, sizeBytes) : undefined;
        resolve({ kind: "whole", body: this.body });
      });
      request.on("error", () => resolve({ kind: "left" }));
      request.on("close", () => resolve({ kind: "left" }));
    });
  }

  /** Answers with a status of this host's own. */
  refuse(status: number, reason: string, retryAfterMs?: number): void {
    const body = JSON.stringify({ error: reason });
    const headers = [
      "Content-Type",
      "application/json",
      "Content-Length",
      String(Buffer.byteLength(body)),
    ];
    if (retryAfterMs !== undefined) {
      headers.push("Retry-After", (retryAfterMs / 1_000).toFixed(3));
    }
    // What is unread of a body would be taken for the next request.
    const mustClose = !this.request.complete;
    this.answer(status, headers, Buffer.from(body), mustClose);
  }

  /** Answers with a whole body. */
  answer(
    status: number,
    headers: readonly string[],
    body: Buffer,
    mustClose = false,
  ): void {
    this.writeHead(status, headers, mustClose);
    this.response.end(body);
  }

  /** Writes the head of an answer. */
  writeHead(
    status: number,
    headers: readonly string[],
    mustClose = false,
  ): void {
    const all = mustClose || this.#isClosing()
      ? [...headers, "Connection", "close"]
      : [...headers];
    this.response.writeHead(status, all);
  }

  /**
   * Writes the head of an answer whose end is told by its connection's alone,
   * as its target's was.
   */
  writeUnframedHead(status: number, headers: readonly string[]): void {
    this.response.useChunkedEncodingByDefault = false;
    this.writeHead(status, headers, true);
  }

  /** Ends an answer that can't be finished, so that it does not look whole. */
  abortResponse(): void {
    this.response.destroy();
  }
}

/**
 * One caller's request and its response. The response is written once; the
 * signal aborts if the caller disconnects before it is complete, or the host ends.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { ByteBuffer } from "../common/byte_buffer.ts";
import { type Clock, timerDelayMs } from "../common/clock.ts";
import type { RequestMetadata } from "../ports/types.ts";
import { BodyBudget } from "./body_budget.ts";

/** Longest wait for the end of a body that is not kept. */
const DISCARD_TIMEOUT_MS = 500;

export interface ExchangeOptions {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly metadata: RequestMetadata;
  readonly clock: Clock;
  /** Whether the connection is closed after the response. */
  readonly isClosing: () => boolean;
  /** Shared by all requests of a host; by default, its own. */
  readonly bodies?: BodyBudget;
}

/** Result of reading a request body. */
export type BodyOutcome =
  | { readonly kind: "complete"; readonly body: Buffer | undefined }
  | { readonly kind: "too-large" }
  /** The host keeps as many bodies as it can. */
  | { readonly kind: "no-room" }
  | { readonly kind: "timed-out" }
  | { readonly kind: "cancelled" }
  | { readonly kind: "disconnected" };

export class Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly metadata: RequestMetadata;
  readonly receivedMs: number;
  body: Buffer | undefined;
  readonly #clock: Clock;
  readonly #isClosing: () => boolean;
  readonly #abort = new AbortController();
  #isDisconnected = false;
  readonly #bodies: BodyBudget;
  #reservedBytes = 0;

  constructor(options: ExchangeOptions) {
    this.request = options.request;
    this.response = options.response;
    this.metadata = options.metadata;
    this.#clock = options.clock;
    this.#isClosing = options.isClosing;
    this.#bodies = options.bodies ?? new BodyBudget();
    this.receivedMs = options.clock.nowMs();
    const onDisconnect = (): void => {
      this.#isDisconnected = true;
      this.#abort.abort();
    };
    // Each pipelined request listens to the connection.
    this.request.socket.setMaxListeners(0);
    this.onClose(() => {
      this.#releaseBody();
      if (!this.response.writableFinished) onDisconnect();
    });
    this.response.on("error", onDisconnect);
  }

  /**
   * Aborts if the caller disconnects before the response is complete, or if the
   * request is cancelled.
   */
  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  get isDisconnected(): boolean {
    return this.#isDisconnected;
  }

  /** Called when the host ends: what the caller has not got by now it won't get. */
  cancel(): void {
    this.#abort.abort();
  }

  /** Calls back when the response is written to the end or its connection broken. */
  onClose(callback: () => void): void {
    const { response, request: { socket } } = this;
    if (response.writableFinished || response.destroyed || socket.destroyed) {
      callback();
      return;
    }
    const onClose = (): void => {
      // A pipelined response is not told that its connection has closed.
      for (const one of [response, socket]) one.off("close", onClose);
      callback();
    };
    for (const one of [response, socket]) one.once("close", onClose);
  }

  get ageMs(): number {
    return this.#clock.nowMs() - this.receivedMs;
  }

  /** Reads the whole body. The body is undefined for a request without one. */
  readBody(limitBytes: number, deadlineMs: number): Promise<BodyOutcome> {
    const { request } = this;
    const declared = Number(request.headers["content-length"] ?? 0);
    if (declared > limitBytes) return Promise.resolve({ kind: "too-large" });
    const hasBody = declared > 0 ||
      request.headers["transfer-encoding"] !== undefined ||
      request.headers["content-length"] !== undefined;
    return new Promise((resolve) => {
      const body = new ByteBuffer({ expectedBytes: declared });
      let sizeBytes = 0;
      let hasRoom = true;
      let timer = setTimeout(
        () => resolve({ kind: "timed-out" }),
        timerDelayMs(deadlineMs - this.#clock.nowMs()),
      );
      const giveUp = (): void => {
        body.clear();
        this.#releaseBody();
        clearTimeout(timer);
        timer = setTimeout(
          () => resolve({ kind: "no-room" }),
          DISCARD_TIMEOUT_MS,
        );
      };
      request.on("close", () => clearTimeout(timer));
      request.on("data", (chunk: Buffer) => {
        sizeBytes += chunk.length;
        if (sizeBytes > limitBytes) {
          resolve({ kind: "too-large" });
          return;
        }
        if (!hasRoom) return;
        // Only what arrives is reserved: a caller may announce and send nothing.
        const heldBytes = body.capacityAfter(chunk.length);
        hasRoom = this.#reserve(heldBytes, Math.max(declared, sizeBytes));
        if (hasRoom) body.append(chunk);
        else giveUp();
      });
      request.on("end", () => {
        clearTimeout(timer);
        if (!hasRoom) {
          resolve({ kind: "no-room" });
          return;
        }
        this.body = hasBody ? body.view() : undefined;
        resolve({ kind: "complete", body: this.body });
      });
      const onAbort = (): void => {
        clearTimeout(timer);
        resolve({ kind: this.isDisconnected ? "disconnected" : "cancelled" });
      };
      if (this.signal.aborted) onAbort();
      this.signal.addEventListener("abort", onAbort, { once: true });
      request.on("error", () => resolve({ kind: "disconnected" }));
      request.on("close", () => resolve({ kind: "disconnected" }));
    });
  }

  /** Reserves what is missing to `bytes`; returns false if there is no room. */
  #reserve(bytes: number, finalBytes: number): boolean {
    const heldBytes = this.#reservedBytes;
    const addedBytes = bytes - heldBytes;
    if (!this.#bodies.tryReserve(addedBytes, { heldBytes, finalBytes })) {
      return false;
    }
    this.#reservedBytes = bytes;
    return true;
  }

  #releaseBody(): void {
    this.#bodies.release(this.#reservedBytes);
    this.#reservedBytes = 0;
  }

  /** Responds with an error of this host, as JSON. */
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
    // Unread bytes of the body would be parsed as the next request.
    const mustClose = !this.request.complete;
    this.answer(status, headers, Buffer.from(body), mustClose);
  }

  /** Writes a complete response. */
  answer(
    status: number,
    headers: readonly string[],
    body: Buffer,
    mustClose = false,
  ): void {
    this.writeHead(status, headers, mustClose);
    this.response.end(body);
  }

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
   * Closes the connection so that a partial response does not look complete. A
   * body that ends with its connection, as callers of HTTP/1.0 get it, would look
   * complete after an orderly close.
   */
  abortResponse(): void {
    const { response } = this;
    if (isDelimitedByClose(response)) response.socket?.resetAndDestroy();
    else response.destroy();
  }
}

function isDelimitedByClose(response: ServerResponse): boolean {
  return response.headersSent && !response.writableEnded &&
    !response.chunkedEncoding;
}

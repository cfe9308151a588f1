/**
 * Reads the event stream of one generation. Tokens come out in order, each
 * index once; those of another attempt and repeated ones are dropped.
 *
 * @module
 */

import { createParser, type EventSourceMessage } from "eventsource-parser";
import { StringDecoder } from "node:string_decoder";
import {
  type Failure,
  type FailureCode,
  mayHaveRun,
} from "../common/verdict.ts";
import type { ReadDecision } from "./http_client.ts";
import type { TokenListener } from "./services.ts";
import type { EngineEnd, EngineToken } from "./types.ts";

const MAX_EVENT_CHARS = 1024 * 1024;

/** Codes of the errors by which an engine ends a stream. */
const ERROR_CODES: Readonly<Record<string, FailureCode>> = {
  "stale-generation": "stale-generation",
  "deadline-exceeded": "deadline-exceeded",
  "cancelled": "cancelled",
};

export interface TokenReaderOptions {
  readonly attemptId: string;
  /** Index of the first token to come. */
  readonly fromIndex: number;
  readonly onTokens: TokenListener;
}

/** The reader of one stream. */
export class TokenReader {
  readonly #onTokens: TokenListener;
  readonly #decoder = new StringDecoder("utf8");
  readonly #parser = createParser({
    onEvent: (event) => this.#handleEvent(event),
    onError: (error) => {
      if (error.type === "max-buffer-size-exceeded") this.#fail(error.message);
    },
    maxBufferSize: MAX_EVENT_CHARS,
  });
  #nextIndex: number;
  #batch: EngineToken[] = [];
  #end: EngineEnd | undefined;
  #failure: Failure | undefined;

  readonly attemptId: string;

  constructor(options: TokenReaderOptions) {
    this.attemptId = options.attemptId;
    this.#onTokens = options.onTokens;
    this.#nextIndex = options.fromIndex;
  }

  /** The explicit end, once it has come. */
  get end(): EngineEnd | undefined {
    return this.#end;
  }

  /** What was wrong with the stream, or the error it ended with. */
  get failure(): Failure | undefined {
    return this.#failure;
  }

  /** Reads one chunk and hands over its tokens in one call. */
  read(chunk: Buffer): ReadDecision {
    this.#parser.feed(this.#decoder.write(chunk));
    this.#flushBatch();
    if (this.#failure) return "cut";
    return this.#end ? "done" : "more";
  }

  #flushBatch(): void {
    if (this.#batch.length === 0) return;
    const batch = this.#batch;
    this.#batch = [];
    this.#onTokens(batch);
  }

  #handleEvent(event: EventSourceMessage): void {
    if (this.#end || this.#failure) return;
    try {
      const data: unknown = JSON.parse(event.data);
      if (event.event === "token") this.#handleToken(data as EngineToken);
      else if (event.event === "end") this.#handleEnd(data as EngineEnd);
      else if (event.event === "error") this.#handleError(data);
    } catch {
      this.#fail(`not JSON: ${event.data.slice(0, 80)}`);
    }
  }

  #handleToken(token: EngineToken): void {
    if (!isToken(token)) return this.#fail("a token lacks a field");
    if (token.attemptId !== this.attemptId) return;
    if (token.index < this.#nextIndex) return;
    if (token.index > this.#nextIndex) {
      return this.#fail(`token ${token.index} came for ${this.#nextIndex}`);
    }
    this.#nextIndex++;
    this.#batch.push(token);
  }

  #handleEnd(end: EngineEnd): void {
    if (end.attemptId !== this.attemptId) return;
    const isComplete = end.tokenCount === this.#nextIndex &&
      (end.reason === "stop" || end.reason === "length");
    if (isComplete) this.#end = end;
    else this.#fail(`end at ${end.tokenCount} after ${this.#nextIndex} tokens`);
  }

  #handleError(data: unknown): void {
    const { error, target } = data as { error?: unknown; target?: unknown };
    const code = ERROR_CODES[String(error)] ?? "target-failed";
    const details = typeof target === "string" ? { target } : {};
    const message = `target ${target}: ${error}`;
    this.#failure = mayHaveRun(code, message, details).error;
  }

  #fail(message: string): void {
    this.#failure ??=
      mayHaveRun("bad-answer", `attempt ${this.attemptId}: ${message}`).error;
  }
}

function isToken(token: EngineToken): boolean {
  return typeof token === "object" && token !== null &&
    typeof token.index === "number" &&
    typeof token.id === "number" &&
    typeof token.text === "string" &&
    typeof token.ran === "string";
}

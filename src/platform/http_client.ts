/**
 * HTTP exchanges with targets and the platform. One exchange is one try: no
 * redirect, no proxy, no retry, a limited answer, and a verdict that follows
 * from whether a byte of the request may have left.
 *
 * @module
 */

import got, { type Got, type Method, type Request } from "got";
import {
  Agent as HttpAgent,
  type ClientRequest,
  type IncomingHttpHeaders,
  type IncomingMessage,
  request as httpRequest,
} from "node:http";
import { Agent as HttpsAgent, request as httpsRequest } from "node:https";
import { Ok } from "ts-results-es";
import { type Clock, systemClock } from "../common/clock.ts";
import type { Disposable } from "../common/lifecycle.ts";
import {
  type FailureCode,
  mayHaveRun,
  notRun,
  type Outcome,
} from "../common/verdict.ts";
import { SendWatch } from "./send_watch.ts";
import type { CallOptions } from "./types.ts";

const DEFAULT_MAX_ANSWER_BYTES = 16 * 1024 * 1024;
const DEFAULT_MAX_SOCKETS = 1_024;
/** How long a connection may take to end after the answer is known. */
const DRAIN_MS = 1_000;

/** One request to send. */
export interface HttpRequest {
  readonly method: string;
  readonly url: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Uint8Array | string;
}

/** One whole answer. */
export interface HttpAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/** What a reader of a streamed answer wants next. */
export type StreamNext = "more" | "done" | "cut";

/** Reads a streamed answer, chunk by chunk. */
export type ChunkReader = (chunk: Buffer) => StreamNext;

export interface ExchangeOptions extends CallOptions {
  /** Takes over the body of an answer with status 200. */
  readonly readChunk?: ChunkReader;
}

export interface HttpClientOptions {
  readonly clock?: Clock;
  readonly got?: Got;
  readonly maxAnswerBytes?: number;
  /** Connections open at a time to one origin. */
  readonly maxSockets?: number;
}

/** Sends requests over connections that are kept open. */
export class HttpClient implements Disposable {
  readonly #clock: Clock;
  readonly #got: Got;
  readonly #maxAnswerBytes: number;
  readonly #agents: { readonly http: HttpAgent; readonly https: HttpsAgent };

  constructor(options: HttpClientOptions = {}) {
    const maxSockets = options.maxSockets ?? DEFAULT_MAX_SOCKETS;
    this.#clock = options.clock ?? systemClock;
    this.#maxAnswerBytes = options.maxAnswerBytes ?? DEFAULT_MAX_ANSWER_BYTES;
    this.#agents = {
      http: new HttpAgent({ keepAlive: true, maxSockets }),
      https: new HttpsAgent({ keepAlive: true, maxSockets }),
    };
    this.#got = (options.got ?? got).extend({
      agent: this.#agents,
      retry: { limit: 0 },
      followRedirect: false,
      throwHttpErrors: false,
      decompress: false,
    });
  }

  /** Sends one request and reads its answer. */
  exchange(
    request: HttpRequest,
    options: ExchangeOptions,
  ): Promise<Outcome<HttpAnswer>> {
    if (options.signal?.aborted) {
      return Promise.resolve(notRun("cancelled", `${request.url}: cancelled`));
    }
    const leftMs = options.deadlineMs - this.#clock.nowMs();
    if (leftMs <= 0) {
      const message = `${request.url}: the deadline passed before sending`;
      return Promise.resolve(notRun("deadline-exceeded", message));
    }
    return this.#run(request, { ...options, leftMs });
  }

  dispose(): void {
    this.#agents.http.destroy();
    this.#agents.https.destroy();
  }

  #run(
    request: HttpRequest,
    options: ExchangeOptions & { readonly leftMs: number },
  ): Promise<Outcome<HttpAnswer>> {
    const watch = new SendWatch();
    const stream = this.#open(request, watch);
    const ended = new AbortController();
    return new Promise((resolve) => {
      const settle = (outcome: Outcome<HttpAnswer>) => {
        ended.abort();
        options.signal?.removeEventListener("abort", cancel);
        resolve(outcome);
      };
      const cut = (code: FailureCode, reason: string) => {
        const message = `${request.url}: ${reason}`;
        const fail = watch.mayHaveSent ? mayHaveRun : notRun;
        settle(fail(code, message));
        stream.destroy();
      };
      const cancel = () => cut("cancelled", "cancelled");
      options.signal?.addEventListener("abort", cancel, { once: true });
      void this.#clock.sleep(options.leftMs, ended.signal).then(() => {
        if (!ended.signal.aborted) cut("deadline-exceeded", "deadline passed");
      });
      stream.on("error", (error) => cut("connection-failed", error.message));
      stream.once("response", (response: IncomingMessage) => {
        this.#readAnswer(stream, response, { ...options, settle, cut });
      });
    });
  }

  #open(request: HttpRequest, watch: SendWatch): Request {
    const { url, method, headers } = request;
    const mayLackBody = method === "GET" || method === "HEAD";
    const body = request.body ?? (mayLackBody ? undefined : "");
    return this.#got.stream(url, {
      method: method as Method,
      headers,
      body: body as string | undefined,
      allowGetBody: body !== undefined,
      request: (url, requestOptions, onResponse) => {
        const send = url.protocol === "https:" ? httpsRequest : httpRequest;
        const sent: ClientRequest = send(url, requestOptions, onResponse);
        watch.watch(sent);
        return sent;
      },
    });
  }

  #readAnswer(
    stream: Request,
    response: IncomingMessage,
    options: ExchangeOptions & {
      settle: (outcome: Outcome<HttpAnswer>) => void;
      cut: (code: FailureCode, reason: string) => void;
    },
  ): void {
    const { settle, cut, readChunk } = options;
    const { statusCode: status = 0, headers } = response;
    if (readChunk && status === 200) {
      this.#readStream(stream, {
        readChunk,
        cut,
        done: () => settle(new Ok({ status, headers, body: Buffer.alloc(0) })),
      });
      return;
    }
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    stream.on("data", (chunk: Buffer) => {
      sizeBytes += chunk.length;
      chunks.push(chunk);
      if (sizeBytes <= this.#maxAnswerBytes) return;
      cut("bad-answer", `answer longer than ${this.#maxAnswerBytes} bytes`);
    });
    stream.once("end", () => {
      if (!hasKnownLength(response)) {
        return cut("bad-answer", "answer without a length may be cut short");
      }
      settle(new Ok({ status, headers, body: Buffer.concat(chunks) }));
    });
  }

  #readStream(
    stream: Request,
    options: {
      readChunk: ChunkReader;
      cut: (code: FailureCode, reason: string) => void;
      done: () => void;
    },
  ): void {
    let isDone = false;
    stream.on("data", (chunk: Buffer) => {
      if (isDone) return;
      const next = options.readChunk(chunk);
      if (next === "cut") options.cut("bad-answer", "stream does not hold");
      if (next !== "done") return;
      isDone = true;
      options.done();
      this.#drain(stream);
    });
    stream.once("end", () => {
      if (!isDone) options.cut("connection-failed", "stream without an end");
    });
  }

  /** Lets a finished exchange give its connection back, or cuts it. */
  #drain(stream: Request): void {
    const ended = new AbortController();
    stream.once("end", () => ended.abort());
    stream.once("close", () => ended.abort());
    void this.#clock.sleep(DRAIN_MS, ended.signal).then(() => {
      if (!ended.signal.aborted) stream.destroy();
    });
  }
}

/** False when only the connection's end would say where the body ends. */
function hasKnownLength(response: IncomingMessage): boolean {
  const { statusCode, headers, req } = response as IncomingMessage & {
    req?: ClientRequest;
  };
  if (statusCode === 204 || statusCode === 304) return true;
  if (req?.method === "HEAD") return true;
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
}

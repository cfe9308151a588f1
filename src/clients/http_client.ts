/**
 * HTTP exchanges with targets and the platform. An exchange is a single attempt
 * without redirects, proxies or retries, and the response size is limited. The
 * verdict of a failure depends on whether any byte of the request may have been sent.
 *
 * @module
 */

import got, { type Got, type Method, type Request } from "got";
import {
  Agent as HttpAgent,
  type AgentOptions,
  type ClientRequest,
  type IncomingHttpHeaders,
  type IncomingMessage,
  request as httpRequest,
  type RequestOptions,
} from "node:http";
import { Agent as HttpsAgent, request as httpsRequest } from "node:https";
import { Ok } from "ts-results-es";
import { type Clock, systemClock } from "../common/clock.ts";
import type { Disposable } from "../common/lifecycle.ts";
import { limitResponseHead } from "../common/response_head_limit.ts";
import {
  type FailureCode,
  mayHaveRun,
  notRun,
  type Outcome,
} from "../common/verdict.ts";
import { SendTracker } from "./send_tracker.ts";
import type { CallOptions } from "./types.ts";

const DEFAULT_MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
const DEFAULT_MAX_SOCKETS = 1_024;
/** Abort reason of ended exchanges; the default reason would capture a stack trace. */
const EXCHANGE_ENDED = Symbol("ended");

export interface HttpRequest {
  readonly method: string;
  readonly url: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Uint8Array | string;
  /** Only a new connection can't deliver the response to an earlier request. */
  readonly connection?: "kept" | "new";
}

/** A response whose body has been read completely. */
export interface BufferedResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/** Whether to continue, complete or abort the reading of a streamed response. */
export type ReadDecision = "more" | "done" | "abort";

/** Receives the chunks of a streamed response. */
export type ChunkReader = (chunk: Buffer) => ReadDecision;

export interface ExchangeOptions extends CallOptions {
  /** Receives the body of a response with status 200. */
  readonly readChunk?: ChunkReader;
}

/** Callbacks that end an exchange whose response is being read. */
interface ResponseReading extends ExchangeOptions {
  readonly resolve: (outcome: Outcome<BufferedResponse>) => void;
  readonly fail: (code: FailureCode, reason: string) => void;
}

export interface HttpClientOptions {
  readonly clock?: Clock;
  readonly got?: Got;
  readonly maxResponseBytes?: number;
  /** Maximum of open connections per origin. */
  readonly maxSockets?: number;
}

/** Sends requests over persistent connections. */
export class HttpClient implements Disposable {
  readonly #clock: Clock;
  readonly #got: Got;
  readonly #maxResponseBytes: number;
  readonly #agents: Readonly<Record<"kept" | "new", Agents>>;

  constructor(options: HttpClientOptions = {}) {
    const maxSockets = options.maxSockets ?? DEFAULT_MAX_SOCKETS;
    this.#clock = options.clock ?? systemClock;
    this.#maxResponseBytes = options.maxResponseBytes ??
      DEFAULT_MAX_RESPONSE_BYTES;
    this.#agents = {
      kept: createAgents({ keepAlive: true, maxSockets }),
      new: createAgents({ keepAlive: false, maxSockets }),
    };
    this.#got = (options.got ?? got).extend({
      retry: { limit: 0 },
      followRedirect: false,
      throwHttpErrors: false,
      decompress: false,
    });
  }

  /** Sends one request and reads its response. */
  exchange(
    request: HttpRequest,
    options: ExchangeOptions,
  ): Promise<Outcome<BufferedResponse>> {
    if (options.signal?.aborted) {
      return Promise.resolve(
        notRun("cancelled", `${request.url}: cancelled before sending`),
      );
    }
    const remainingMs = options.deadlineMs - this.#clock.nowMs();
    if (remainingMs <= 0) {
      const message = `${request.url}: the deadline passed before sending`;
      return Promise.resolve(notRun("deadline-exceeded", message));
    }
    return this.#run(request, { ...options, remainingMs });
  }

  dispose(): void {
    for (const agents of Object.values(this.#agents)) {
      agents.http.destroy();
      agents.https.destroy();
    }
  }

  #run(
    request: HttpRequest,
    options: ExchangeOptions & { readonly remainingMs: number },
  ): Promise<Outcome<BufferedResponse>> {
    const tracker = new SendTracker();
    const stream = this.#open(request, tracker);
    const ended = new AbortController();
    return new Promise((resolve) => {
      const cleanUp = () => {
        ended.abort(EXCHANGE_ENDED);
        options.signal?.removeEventListener("abort", cancel);
      };
      const fail = (code: FailureCode, reason: string) => {
        const message = `${request.url}: ${reason}`;
        const createFailure = tracker.mayHaveSent ? mayHaveRun : notRun;
        resolve(createFailure(code, message));
        cleanUp();
        stream.destroy();
      };
      const cancel = () => fail("cancelled", "cancelled by the caller");
      options.signal?.addEventListener("abort", cancel, { once: true });
      void this.#clock.sleep(options.remainingMs, ended.signal).then(() => {
        if (!ended.signal.aborted) {
          fail("deadline-exceeded", "deadline exceeded");
        }
      });
      stream.on("error", (error) => fail("connection-failed", error.message));
      stream.once("response", (response: IncomingMessage) => {
        // The deadline and cancellation apply until the response is closed, in case it never ends.
        response.once("close", () => {
          if (response.complete) cleanUp();
          else fail("connection-failed", "response truncated");
        });
        this.#readResponse(response, { ...options, resolve, fail });
      });
    });
  }

  #open(request: HttpRequest, tracker: SendTracker): Request {
    const { url, method, headers, connection = "kept" } = request;
    const isBodyOptional = method === "GET" || method === "HEAD";
    const body = request.body ?? (isBodyOptional ? undefined : "");
    return this.#got.stream(url, {
      method: method as Method,
      agent: this.#agents[connection],
      headers,
      body: body as string | undefined,
      allowGetBody: body !== undefined,
      request: (url, requestOptions, onResponse) => {
        const clientRequest = url.protocol === "https:"
          ? httpsRequest(url, requestOptions, onResponse)
          : httpRequest(url, plainHttpOptions(requestOptions), onResponse);
        tracker.track(clientRequest);
        limitResponseHead(clientRequest);
        return clientRequest;
      },
    });
  }

  #readResponse(response: IncomingMessage, reading: ResponseReading): void {
    // Prevents got from copying each chunk through a second stream.
    response.removeAllListeners("readable");
    if (reading.readChunk && response.statusCode === 200) {
      streamResponse(response, { ...reading, readChunk: reading.readChunk });
    } else this.#bufferResponse(response, reading);
  }

  #bufferResponse(
    response: IncomingMessage,
    { resolve, fail }: ResponseReading,
  ): void {
    const { statusCode: status = 0, headers } = response;
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    response.on("data", (chunk: Buffer) => {
      sizeBytes += chunk.length;
      chunks.push(chunk);
      if (sizeBytes <= this.#maxResponseBytes) return;
      fail("bad-answer", `response exceeds ${this.#maxResponseBytes} bytes`);
    });
    response.once("end", () => {
      if (!hasKnownLength(response)) {
        return fail(
          "bad-answer",
          "response without Content-Length or Transfer-Encoding may be truncated",
        );
      }
      resolve(new Ok({ status, headers, body: Buffer.concat(chunks) }));
    });
  }
}

/** Passes chunks to the reader until it is done or aborts. */
function streamResponse(
  response: IncomingMessage,
  reading: ResponseReading & { readonly readChunk: ChunkReader },
): void {
  const { statusCode: status = 0, headers } = response;
  const { readChunk, resolve, fail } = reading;
  let isDone = false;
  response.on("data", (chunk: Buffer) => {
    if (isDone) return;
    const decision = readChunk(chunk);
    if (decision === "abort") fail("bad-answer", "invalid stream");
    isDone = decision !== "more";
    if (decision !== "done") return;
    resolve(new Ok({ status, headers, body: Buffer.alloc(0) }));
  });
  response.once("end", () => {
    if (!isDone) {
      fail("connection-failed", "stream closed without an end event");
    }
  });
}

interface Agents {
  readonly http: HttpAgent;
  readonly https: HttpsAgent;
}

function createAgents(options: AgentOptions): Agents {
  return { http: new HttpAgent(options), https: new HttpsAgent(options) };
}

/** The options that a request without TLS needs; fewer options are cheaper to copy. */
function plainHttpOptions(options: RequestOptions): RequestOptions {
  const { agent, headers, lookup, method } = options;
  return { agent, headers, lookup, method };
}

/** False if the body is delimited only by the end of the connection. */
function hasKnownLength(response: IncomingMessage): boolean {
  const { statusCode, headers, req } = response as IncomingMessage & {
    req?: ClientRequest;
  };
  if (statusCode === 204 || statusCode === 304) return true;
  if (req?.method === "HEAD") return true;
  return headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
}

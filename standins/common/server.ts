/**
 * The HTTP server under every stand-in: JSON in and out, `/control` for
 * faults, and the line on standard output that says where it listens.
 *
 * @module
 */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { type FaultOrder, Faults } from "./faults.ts";

const MAX_BODY_BYTES = 64 * 1024 * 1024;

/** One request with its body read, and the ways to answer it. */
export interface Exchange {
  readonly method: string;
  /** Path segments, decoded. */
  readonly path: readonly string[];
  readonly query: URLSearchParams;
  readonly body: Buffer;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** The body as JSON; throws when it is not. */
  json<T>(): T;
  /** Answers with JSON, unless a fault delays or loses the answer. */
  reply(
    status: number,
    data: unknown,
    headers?: Readonly<Record<string, string>>,
  ): Promise<void>;
}

/** Answers one request. */
export type Handler = (exchange: Exchange) => Promise<void> | void;

export interface StandinServerOptions {
  readonly handle: Handler;
  readonly faults: Faults;
  /** Answers `GET /control/<name>` with what the stand-in counted. */
  readonly reports?: Readonly<Record<string, () => unknown>>;
}

/** A stand-in's listener on the loopback address. */
export class StandinServer {
  readonly #options: StandinServerOptions;
  readonly #server: Server;

  constructor(options: StandinServerOptions) {
    this.#options = options;
    this.#server = createServer({ keepAliveTimeout: 60_000, noDelay: true });
    this.#server.on("connection", (socket) => options.faults.track(socket));
    this.#server.on("request", (request, response) => {
      this.#serve(request, response).catch((error) =>
        replyWithError(response, error)
      );
    });
  }

  /** Listens and returns the base URL; port 0 lets the system choose. */
  listen(port = 0): Promise<string> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, "127.0.0.1", () => {
        const address = this.#server.address() as AddressInfo;
        resolve(`http://127.0.0.1:${address.port}`);
      });
    });
  }

  /** Stops listening and cuts what is open. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const exchange = await this.#read(request, response);
    if (exchange.path[0] === "control") return this.#control(exchange);
    await this.#options.faults.untilThawed();
    if (this.#options.faults.isDown) {
      return exchange.reply(503, { error: "unavailable" });
    }
    await this.#options.handle(exchange);
  }

  async #read(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<Exchange> {
    const url = new URL(request.url ?? "/", "http://standin");
    const body = await readBody(request);
    return {
      method: request.method ?? "GET",
      path: url.pathname.split("/").filter(Boolean).map(decodeURIComponent),
      query: url.searchParams,
      body,
      request,
      response,
      json: <T>() => JSON.parse(body.toString("utf8")) as T,
      reply: (status, data, headers) =>
        this.#reply(response, { status, data, headers }),
    };
  }

  async #reply(
    response: ServerResponse,
    answer: {
      status: number;
      data: unknown;
      headers?: Readonly<Record<string, string>>;
    },
  ): Promise<void> {
    const { faults } = this.#options;
    if (faults.delayMs > 0) await sleep(faults.delayMs);
    await faults.untilThawed();
    if (faults.consumeLostAnswer()) {
      response.socket?.destroy();
      return;
    }
    sendJson(response, answer);
  }

  #control(exchange: Exchange): void {
    const { faults, reports } = this.#options;
    const { response } = exchange;
    if (exchange.method === "GET") {
      const report = reports?.[exchange.path[1] ?? ""];
      const status = report ? 200 : 404;
      return sendJson(response, { status, data: report?.() ?? {} });
    }
    const socket = exchange.request.socket;
    faults.apply(exchange.json<FaultOrder>(), socket);
    sendJson(response, { status: 200, data: {} });
  }
}

/** Reads a whole body, within a limit. */
async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  for await (const chunk of request) {
    sizeBytes += chunk.length;
    if (sizeBytes > MAX_BODY_BYTES) throw new Error("body too large");
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

function sendJson(
  response: ServerResponse,
  answer: {
    status: number;
    data: unknown;
    headers?: Readonly<Record<string, string>>;
  },
): void {
  if (response.destroyed) return;
  const text = JSON.stringify(answer.data);
  response.writeHead(answer.status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
    ...answer.headers,
  });
  response.end(text);
}

function replyWithError(response: ServerResponse, error: unknown): void {
  const message = error instanceof Error ? error.message : String(error);
  if (response.headersSent || response.destroyed) response.destroy();
  else {sendJson(response, {
      status: 400,
      data: { error: "bad-request", message },
    });}
}

/** Waits for a number of milliseconds. */
export function sleep(waitMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, waitMs));
}

/**
 * A restify server with this project's limits: problem documents for every
 * error, bounded headers, and a stop that ends idle connections and lets
 * requests in flight finish.
 *
 * @module
 */

import type { AddressInfo } from "node:net";
import restify, { type Request, type Response, type Server } from "restify";
import type { Clock } from "../common/clock.ts";
import type { ILog } from "../common/logging.ts";
import type { IMetrics } from "../common/metrics.ts";
import type { Failure } from "../common/verdict.ts";
import { toProblem } from "./problem.ts";

const HEADERS_TIMEOUT_MS = 10_000;
const KEEP_ALIVE_TIMEOUT_MS = 65_000;
const MAX_CONNECTIONS = 20_000;

/** Certificate and key in PEM; a server without them speaks plain HTTP. */
export interface TlsMaterial {
  readonly certificate: Buffer;
  readonly key: Buffer;
}

/** Options of a server. */
export interface HttpServerOptions {
  readonly name: string;
  readonly address: string;
  readonly port: number;
  readonly clock: Clock;
  readonly log: ILog;
  readonly metrics: IMetrics;
  readonly tls?: TlsMaterial;
}

/** Handles one request and answers it itself. */
export type Handler = (request: Request, response: Response) => Promise<void>;

/** One listening server. */
export class HttpServer {
  readonly #options: HttpServerOptions;
  readonly #server: Server;
  #isClosingConnections = false;

  constructor(options: HttpServerOptions) {
    this.#options = options;
    this.#server = restify.createServer({
      name: "",
      certificate: options.tls?.certificate,
      key: options.tls?.key,
      handleUncaughtExceptions: false,
    });
    const nodeServer = nodeServerOf(this.#server);
    nodeServer.headersTimeout = HEADERS_TIMEOUT_MS;
    nodeServer.requestTimeout = 0;
    nodeServer.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
    nodeServer.maxConnections = MAX_CONNECTIONS;
    this.#server.on(
      "restifyError",
      (_request, response: Response, error, callback) => {
        sendFailure(response, restifyFailure(error), options.clock);
        callback();
      },
    );
  }

  /** Adds a route. A handler that throws answers 500 if nothing was sent yet. */
  route(
    method: "get" | "post" | "put" | "patch" | "del" | "head",
    path: string,
    handler: Handler,
  ) {
    this.#server[method](path, async (request: Request, response: Response) => {
      if (this.#isClosingConnections) response.setHeader("connection", "close");
      try {
        await handler(request, response);
      } catch (error) {
        this.#options.log.error("a handler failed", { path, error });
        this.#respondInternalError(response);
      }
    });
  }

  /** Listens and returns the base URL. */
  async listen(): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      nodeServerOf(this.#server).once("error", reject);
      this.#server.listen(
        this.#options.port,
        this.#options.address,
        () => resolve(),
      );
    });
    const address = nodeServerOf(this.#server).address() as AddressInfo;
    const scheme = this.#options.tls === undefined ? "http" : "https";
    return `${scheme}://${this.#options.address}:${address.port}`;
  }

  /** Answers ask for the connection to be closed from now on. */
  closeConnectionsAfterResponse(): void {
    this.#isClosingConnections = true;
  }

  /** Stops accepting and resolves when every request in flight has ended. */
  close(): Promise<void> {
    this.#isClosingConnections = true;
    const nodeServer = nodeServerOf(this.#server);
    return new Promise((resolve) => {
      nodeServer.close(() => resolve());
      nodeServer.closeIdleConnections();
    });
  }

  /** Cuts every connection. */
  destroy(): void {
    nodeServerOf(this.#server).closeAllConnections();
  }

  #respondInternalError(response: Response): void {
    this.#options.metrics.count("jackdawshift_answers_total", {
      verdict: "may-have-run",
      code: "internal",
    });
    if (response.headersSent) {
      response.destroy();
      return;
    }
    const failure: Failure = {
      verdict: "may-have-run",
      code: "internal",
      message: "the host failed to handle the request",
    };
    sendFailure(response, failure, this.#options.clock);
  }
}

/** Sends a failure as a problem document. */
export function sendFailure(
  response: Response,
  failure: Failure,
  clock: Clock,
  extra: Readonly<Record<string, unknown>> = {},
): void {
  const problem = toProblem(failure, { clock, extra });
  if (failure.code === "body-too-large" || failure.code === "bad-request") {
    response.setHeader("connection", "close");
  }
  sendBytes(
    response,
    problem.status,
    problem.headers,
    JSON.stringify(problem.body),
  );
}

/** Sends a JSON document. */
export function sendJson(
  response: Response,
  status: number,
  document: unknown,
): void {
  const headers = { "content-type": "application/json" };
  sendBytes(response, status, headers, JSON.stringify(document));
}

/** Sends a whole body. */
export function sendBytes(
  response: Response,
  status: number,
  headers: Readonly<Record<string, string>>,
  body: string | Uint8Array,
): void {
  if (response.headersSent || response.destroyed) return;
  const length = typeof body === "string"
    ? Buffer.byteLength(body)
    : body.length;
  response.writeHead(status, { ...headers, "content-length": String(length) });
  response.end(body);
}

function restifyFailure(
  error: { readonly statusCode?: number; readonly message: string },
): Failure {
  const isMissing = error.statusCode === 404 || error.statusCode === 405;
  const code = isMissing ? "not-found" : "bad-request";
  return { verdict: "not-run", code, message: error.message };
}

function nodeServerOf(server: Server): import("node:http").Server {
  return (server as unknown as { readonly server: import("node:http").Server })
    .server;
}

/**
 * HTTP servers of a host: frontend for callers, requests that other hosts pass
 * on, readiness and metrics.
 *
 * @module
 */

import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
} from "node:http";
import type { ILog } from "../common/logging.ts";
import type { CallerLimits, Endpoint, HostSettings } from "../ports/types.ts";

/** Maximum number of connections that wait in the kernel to be accepted. */
const BACKLOG = 1_024;
/** Interval at which Node.js checks for slow request headers. */
const HEADER_CHECK_INTERVAL_MS = 500;

/** Longer than hosts keep idle connections to each other. */
const HOST_IDLE_MS = 10_000;
/** Callers' headers, which are limited at the frontend, and those of hosts. */
const MAX_DELEGATED_HEADER_BYTES = 256 * 1024;

/** A failing socket may report an error each turn. */
const ERROR_LOG_INTERVAL_MS = 10_000;

/** Serves one request; resolves when it has ended. */
export type Serve = (
  request: IncomingMessage,
  response: ServerResponse,
) => void | Promise<void>;

/** Ports that the settings name. */
export type SettingsPort = "frontend" | "readiness" | "metrics";

/** Ports on which the host listens; 0 while closed. */
export type HostPorts = Readonly<Record<SettingsPort, number>>;

export interface HostListenersOptions {
  readonly settings: HostSettings;
  readonly log: ILog;
  readonly onRequest: Serve;
  /** Serves a request that another host passes on. */
  readonly onDelegated: Serve;
  readonly isReady: () => boolean;
  readonly renderMetrics: () => string;
}

export class HostListeners {
  readonly #settings: HostSettings;
  readonly #log: ILog;
  readonly #servers: Readonly<Record<SettingsPort | "delegation", Server>>;

  constructor(options: HostListenersOptions) {
    this.#settings = options.settings;
    const { log } = options;
    this.#log = log;
    const frontend = createServer({
      keepAlive: true,
      connectionsCheckingInterval: HEADER_CHECK_INTERVAL_MS,
      // The deadline of the request limits the time for its body.
      requestTimeout: 0,
    }, answering(options.onRequest, log));
    const delegation = createServer({
      keepAlive: true,
      keepAliveTimeout: HOST_IDLE_MS,
      connectionsCheckingInterval: HEADER_CHECK_INTERVAL_MS,
      maxHeaderSize: MAX_DELEGATED_HEADER_BYTES,
      requestTimeout: 0,
    }, answering(options.onDelegated, log));
    const readiness = createServer(answering((_request, response) => {
      const status = options.isReady() ? 200 : 503;
      response.writeHead(status, { "content-length": "0" }).end();
    }, log));
    const metrics = createServer(answering((_request, response) => {
      const text = options.renderMetrics();
      response.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
      response.end(text);
    }, log));
    this.#servers = { frontend, delegation, readiness, metrics };
  }

  get ports(): HostPorts {
    return {
      frontend: portOf(this.#servers.frontend),
      readiness: portOf(this.#servers.readiness),
      metrics: portOf(this.#servers.metrics),
    };
  }

  /**
   * Opens one port; rejects if it is in use, and may be retried. The settings
   * name all ports but that of the delegation, to which other hosts pass
   * requests on.
   */
  open(name: SettingsPort): Promise<void> {
    return this.#listen(this.#servers[name], this.#settings[name]);
  }

  openDelegation(port: number): Promise<void> {
    const { ip } = this.#settings;
    return this.#listen(this.#servers.delegation, { ip, port });
  }

  /** Sets the limits that apply from the next connection or request on. */
  applyLimits(limits: CallerLimits): void {
    const { frontend } = this.#servers;
    frontend.keepAliveTimeout = limits.idleMs;
    frontend.headersTimeout = limits.headerMs;
    // Node.js passes this limit to the parser of each new connection.
    (frontend as { maxHeaderSize?: number }).maxHeaderSize = limits.headerBytes;
  }

  /** Closes all ports and connections. */
  dispose(): void {
    for (const server of Object.values(this.#servers)) {
      server.close();
      server.closeAllConnections();
    }
  }

  async #listen(server: Server, endpoint: Endpoint): Promise<void> {
    await listen(server, endpoint);
    logErrors(server, this.#log);
  }
}

/** A request whose listener fails gets 500, or its connection is broken off. */
function answering(serve: Serve, log: ILog): RequestListener {
  const run = async (
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> => {
    try {
      await serve(request, response);
    } catch (error) {
      log.error("request listener failed", { reason: error });
      if (response.headersSent) response.destroy();
      else {
        const headers = { "content-length": "0", "connection": "close" };
        response.writeHead(500, headers).end();
      }
    }
  };
  return (request, response) => void run(request, response);
}

/** Without a listener, an error of a server would be one that no code handled. */
function logErrors(server: Server, log: ILog): void {
  let errors = 0;
  let loggedMs = -Infinity;
  server.on("error", (error) => {
    errors++;
    const nowMs = performance.now();
    if (nowMs - loggedMs < ERROR_LOG_INTERVAL_MS) return;
    loggedMs = nowMs;
    log.warn("listening socket error", {
      port: portOf(server),
      reason: String(error),
      count: errors,
    });
  });
}

function listen(server: Server, { ip, port }: Endpoint): Promise<void> {
  return new Promise((resolve, reject) => {
    const onError = (error: Error): void => {
      server.off("listening", onListening);
      reject(error);
    };
    const onListening = (): void => {
      server.off("error", onError);
      resolve();
    };
    server.once("error", onError).once("listening", onListening);
    server.listen({ host: ip, port, backlog: BACKLOG });
  });
}

function portOf(server: Server): number {
  const address = server.address();
  return typeof address === "object" ? address?.port ?? 0 : 0;
}

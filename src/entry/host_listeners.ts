/**
 * HTTP servers of a host: frontend for callers, requests that other hosts pass
 * on, readiness and metrics.
 *
 * @module
 */

import { createServer, type RequestListener, type Server } from "node:http";
import type { CallerLimits, Endpoint, HostSettings } from "../ports/types.ts";

/** Maximum number of connections that wait in the kernel to be accepted. */
const BACKLOG = 1_024;
/** Interval at which Node.js checks for slow request headers. */
const HEADER_CHECK_INTERVAL_MS = 500;

/** Longer than hosts keep idle connections to each other. */
const HOST_IDLE_MS = 10_000;
/** Callers' headers, which are limited at the frontend, and those of hosts. */
const MAX_DELEGATED_HEADER_BYTES = 256 * 1024;

/** Ports on which the host listens; 0 while closed. */
export interface HostPorts {
  readonly frontend: number;
  readonly readiness: number;
  readonly metrics: number;
}

export interface HostListenersOptions {
  readonly settings: HostSettings;
  readonly onRequest: RequestListener;
  /** Serves a request that another host passes on. */
  readonly onDelegated: RequestListener;
  readonly isReady: () => boolean;
  readonly renderMetrics: () => string;
}

export class HostListeners {
  readonly #settings: HostSettings;
  readonly #frontend: Server;
  readonly #delegation: Server;
  readonly #readiness: Server;
  readonly #metrics: Server;

  constructor(options: HostListenersOptions) {
    this.#settings = options.settings;
    this.#frontend = createServer({
      keepAlive: true,
      connectionsCheckingInterval: HEADER_CHECK_INTERVAL_MS,
      // The deadline of the request limits the time for its body.
      requestTimeout: 0,
    }, options.onRequest);
    this.#delegation = createServer({
      keepAlive: true,
      keepAliveTimeout: HOST_IDLE_MS,
      connectionsCheckingInterval: HEADER_CHECK_INTERVAL_MS,
      maxHeaderSize: MAX_DELEGATED_HEADER_BYTES,
      requestTimeout: 0,
    }, options.onDelegated);
    this.#readiness = createServer((_request, response) => {
      const status = options.isReady() ? 200 : 503;
      response.writeHead(status, { "content-length": "0" }).end();
    });
    this.#metrics = createServer((_request, response) => {
      response.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
      response.end(options.renderMetrics());
    });
  }

  get ports(): HostPorts {
    return {
      frontend: portOf(this.#frontend),
      readiness: portOf(this.#readiness),
      metrics: portOf(this.#metrics),
    };
  }

  /**
   * Opens all ports; rejects if one is in use. Other hosts pass requests on to
   * `hostPort`.
   */
  async open(hostPort: number): Promise<void> {
    const { ip } = this.#settings;
    await listen(this.#delegation, { ip, port: hostPort });
    await listen(this.#frontend, this.#settings.frontend);
    await listen(this.#readiness, this.#settings.readiness);
    await listen(this.#metrics, this.#settings.metrics);
  }

  /** Sets the limits that apply from the next connection or request on. */
  applyLimits(limits: CallerLimits): void {
    this.#frontend.keepAliveTimeout = limits.idleMs;
    this.#frontend.headersTimeout = limits.headerMs;
    // Node.js passes this limit to the parser of each new connection.
    (this.#frontend as { maxHeaderSize?: number }).maxHeaderSize =
      limits.headerBytes;
  }

  /** Closes all ports and connections. */
  dispose(): void {
    const servers = [
      this.#frontend,
      this.#delegation,
      this.#readiness,
      this.#metrics,
    ];
    for (const server of servers) {
      server.close();
      server.closeAllConnections();
    }
  }
}

function listen(server: Server, { ip, port }: Endpoint): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host: ip, port, backlog: BACKLOG }, () => {
      server.off("error", reject);
      resolve();
    });
  });
}

function portOf(server: Server): number {
  const address = server.address();
  return typeof address === "object" ? address?.port ?? 0 : 0;
}

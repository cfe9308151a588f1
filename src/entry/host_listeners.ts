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

/** Ports that the settings name. */
export type SettingsPort = "frontend" | "readiness" | "metrics";

/** Ports on which the host listens; 0 while closed. */
export type HostPorts = Readonly<Record<SettingsPort, number>>;

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
  readonly #servers: Readonly<Record<SettingsPort | "delegation", Server>>;

  constructor(options: HostListenersOptions) {
    this.#settings = options.settings;
    const frontend = createServer({
      keepAlive: true,
      connectionsCheckingInterval: HEADER_CHECK_INTERVAL_MS,
      // The deadline of the request limits the time for its body.
      requestTimeout: 0,
    }, options.onRequest);
    const delegation = createServer({
      keepAlive: true,
      keepAliveTimeout: HOST_IDLE_MS,
      connectionsCheckingInterval: HEADER_CHECK_INTERVAL_MS,
      maxHeaderSize: MAX_DELEGATED_HEADER_BYTES,
      requestTimeout: 0,
    }, options.onDelegated);
    const readiness = createServer((_request, response) => {
      const status = options.isReady() ? 200 : 503;
      response.writeHead(status, { "content-length": "0" }).end();
    });
    const metrics = createServer((_request, response) => {
      response.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
      response.end(options.renderMetrics());
    });
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
    return listen(this.#servers[name], this.#settings[name]);
  }

  openDelegation(port: number): Promise<void> {
    return listen(this.#servers.delegation, { ip: this.#settings.ip, port });
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

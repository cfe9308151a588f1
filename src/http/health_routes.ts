/**
 * HTTP routes for health and readiness. They are separate because a host can be
 * alive without being ready.
 *
 * @module
 */

import { type HttpServer, sendJson } from "./http_server.ts";

export interface HealthRoutesOptions {
  /** Reasons why this host accepts no new requests; empty if it is ready. */
  readonly readBlockers: () => readonly string[];
}

/** Serves `/healthz` and `/readyz`. */
export class HealthRoutes {
  readonly #options: HealthRoutesOptions;

  constructor(options: HealthRoutesOptions) {
    this.#options = options;
  }

  attach(server: HttpServer): void {
    server.route("get", "/healthz", async (_request, response) => {
      await sendJson(response, 200, { alive: true });
    });
    server.route("get", "/readyz", async (_request, response) => {
      const blockers = this.#options.readBlockers();
      const ready = blockers.length === 0;
      await sendJson(response, ready ? 200 : 503, { ready, blockers });
    });
  }
}

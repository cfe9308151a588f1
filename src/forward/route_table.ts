/**
 * Finds the route of a request: by host name, then by the longest path prefix.
 * Pure.
 *
 * @module
 */

import type { Route, RoutingConfig, Service } from "../ports/types.ts";

/** The routes of one configuration. */
export class RouteTable {
  readonly config: RoutingConfig;
  readonly #byHost = new Map<string, Route[]>();

  constructor(config: RoutingConfig) {
    this.config = config;
    for (const route of config.routes) {
      const routes = this.#byHost.get(route.host);
      if (routes === undefined) this.#byHost.set(route.host, [route]);
      else routes.push(route);
    }
    // The longest prefix is found first.
    for (const routes of this.#byHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }

  find(hostHeader: string, requestTarget: string): Route | undefined {
    const host = hostHeader.replace(/:\d+$/, "").toLowerCase();
    const path = requestTarget.split("?", 1)[0];
    return this.#byHost.get(host)?.find(({ pathPrefix }) =>
      path.startsWith(pathPrefix)
    );
  }

  /** Draws one of a route's services by weight; `draw` is in [0, 1). */
  pickService(route: Route, draw: number): Service | undefined {
    const total = route.split.reduce((sum, { weight }) => sum + weight, 0);
    let remaining = draw * total;
    for (const { service, weight } of route.split) {
      remaining -= weight;
      if (remaining < 0) return this.config.services.get(service);
    }
    return this.config.services.get(
      route.split[route.split.length - 1].service,
    );
  }
}

/**
 * Checks a routing configuration before it is submitted: references to entries
 * that do not exist, routes and services that can never be used, and limits that
 * contradict each other. Pure.
 *
 * @module
 */

import type { Route, RoutingConfig } from "../ports/types.ts";
import { diffConfig, type Difference } from "./config_diff.ts";

/** Fields of a configuration that findings name. */
export type RoutingField =
  | "pathPrefix"
  | "timeoutMs"
  | "firstByteGoalMs"
  | "eventGapGoalMs"
  | "maxAttempts"
  | "isResumable"
  | "isPublic"
  | "split"
  | "apiKeys"
  | "headerMs"
  | "idleMs";

/**
 * `error`: requests fail or are routed by chance. `unreachable`: the entry has
 * no effect. `contradiction`: two limits cannot both apply.
 */
export type FindingKind = "error" | "unreachable" | "contradiction";

export interface Finding {
  readonly kind: FindingKind;
  /** For example `route "summaries"`. */
  readonly entry: string;
  readonly field: RoutingField;
  /** The value found and what is allowed. */
  readonly message: string;
}

export interface RoutingCheckOptions {
  readonly config: RoutingConfig;
  /** Each API key with the customer that lists it, in order. */
  readonly keyOwners: readonly (readonly [string, string])[];
}

/** An idempotent request may need a second target, which takes another attempt. */
const MIN_RESUMABLE_ATTEMPTS = 2;
const DISPLAYED_KEY_CHARS = 4;

export function checkRouting(options: RoutingCheckOptions): Finding[] {
  const { config } = options;
  return [
    ...config.routes.flatMap((route) => checkRoute(route, config)),
    ...findShadowedRoutes(config.routes),
    ...findUnusedServices(config),
    ...checkKeys(options),
    ...checkCallerLimits(config),
  ];
}

/**
 * Lists what differs between two configurations. Routes and services are
 * compared by name, and API keys by the customer that they identify.
 */
export function diffRouting(
  before: RoutingConfig,
  after: RoutingConfig,
): Difference[] {
  return diffConfig(toDocument(before), toDocument(after));
}

function toDocument(config: RoutingConfig): object {
  const customers: Record<string, { priority?: number; keys: number }> = {};
  for (const { name, priority } of config.customersByKey?.values() ?? []) {
    const customer = customers[name] ??= { priority, keys: 0 };
    customer.keys++;
  }
  return {
    version: config.version,
    limits: config.limits,
    routes: Object.fromEntries(config.routes.map((one) => [one.name, one])),
    services: Object.fromEntries(
      [...config.services].map(([name, { engine }]) => [
        name,
        { ...engine, kinds: Object.fromEntries(engine?.kinds ?? []) },
      ]),
    ),
    customers,
  };
}

function checkRoute(route: Route, config: RoutingConfig): Finding[] {
  const findings: Finding[] = [];
  const add = (
    kind: FindingKind,
    field: RoutingField,
    message: string,
  ): void => {
    findings.push({ kind, entry: entryOf(route), field, message });
  };
  const { pathPrefix, timeoutMs, firstByteGoalMs, eventGapGoalMs } = route;
  if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
    add("error", "pathPrefix", `"${pathPrefix}" must begin and end with "/"`);
  }
  for (const { service, weight } of route.split) {
    if (!config.services.has(service)) {
      add("error", "split", `service "${service}" is not configured`);
    } else if (weight === 0) {
      add("unreachable", "split", `service "${service}" has weight 0`);
    }
  }
  if (route.split.every(({ weight }) => weight === 0)) {
    add("error", "split", "the weights must have a sum above 0");
  }
  if (timeoutMs <= 0) {
    add("error", "timeoutMs", `${timeoutMs} must be above 0`);
  } else if (firstByteGoalMs > timeoutMs) {
    add(
      "contradiction",
      "firstByteGoalMs",
      `${firstByteGoalMs} must be at most the timeout of ${timeoutMs}`,
    );
  }
  if (eventGapGoalMs !== undefined && eventGapGoalMs > timeoutMs) {
    add(
      "contradiction",
      "eventGapGoalMs",
      `${eventGapGoalMs} must be at most the timeout of ${timeoutMs}`,
    );
  }
  if (route.isResumable && route.retryPolicy !== "stream") {
    add("unreachable", "isResumable", "only streams are resumed");
  } else if (route.isResumable && route.maxAttempts < MIN_RESUMABLE_ATTEMPTS) {
    add(
      "contradiction",
      "maxAttempts",
      `${route.maxAttempts} must be at least ${MIN_RESUMABLE_ATTEMPTS} for a resumable stream`,
    );
  }
  if (route.isPublic && config.customersByKey === undefined) {
    add("unreachable", "isPublic", "no route needs an API key");
  }
  return findings;
}

/** Routes with the host and path of an earlier route, which gets their requests. */
function findShadowedRoutes(routes: readonly Route[]): Finding[] {
  const first = new Map<string, Route>();
  return routes.flatMap((route): Finding[] => {
    const key = `${route.host} ${route.pathPrefix}`;
    const earlier = first.get(key);
    if (earlier === undefined) {
      first.set(key, route);
      return [];
    }
    return [{
      kind: "unreachable",
      entry: entryOf(route),
      field: "pathPrefix",
      message: `"${route.host}${route.pathPrefix}" is already that of ${
        entryOf(earlier)
      }`,
    }];
  });
}

function findUnusedServices({ routes, services }: RoutingConfig): Finding[] {
  const used = new Set(
    routes.flatMap(({ split }) =>
      split.filter(({ weight }) => weight > 0).map(({ service }) => service)
    ),
  );
  return [...services.keys()].filter((name) => !used.has(name)).map((name) => ({
    kind: "unreachable",
    entry: `service "${name}"`,
    field: "split",
    message: "no route leads to the service",
  }));
}

function checkKeys({ keyOwners }: RoutingCheckOptions): Finding[] {
  const owners = new Map<string, string>();
  const findings: Finding[] = [];
  for (const [key, customer] of keyOwners) {
    const owner = owners.get(key);
    owners.set(key, customer);
    if (owner === undefined) continue;
    const start = `${key.slice(0, DISPLAYED_KEY_CHARS)}...`;
    findings.push({
      kind: owner === customer ? "unreachable" : "error",
      entry: `customer "${customer}"`,
      field: "apiKeys",
      message: owner === customer
        ? `key ${start} is listed twice`
        : `key ${start} must belong to one customer, also listed by "${owner}"`,
    });
  }
  return findings;
}

function checkCallerLimits({ limits, routes }: RoutingConfig): Finding[] {
  const findings: Finding[] = [];
  const shortestMs = Math.min(...routes.map(({ timeoutMs }) => timeoutMs));
  if (limits.headerMs > shortestMs) {
    findings.push({
      kind: "contradiction",
      entry: "limits",
      field: "headerMs",
      message:
        `${limits.headerMs} must be at most the shortest timeout of a route, ${shortestMs}`,
    });
  }
  if (limits.idleMs <= 0) {
    findings.push({
      kind: "error",
      entry: "limits",
      field: "idleMs",
      message: `${limits.idleMs} must be above 0`,
    });
  }
  return findings;
}

function entryOf({ name }: Route): string {
  return `route "${name}"`;
}

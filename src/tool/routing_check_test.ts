import { expect, test } from "vitest";
import type { Route, RoutingConfig } from "../ports/types.ts";
import { checkRouting } from "./routing_check.ts";

const ROUTE: Route = {
  name: "r",
  host: "a.example",
  pathPrefix: "/x/",
  retryPolicy: "stream",
  timeoutMs: 1_000,
  firstByteGoalMs: 500,
  eventGapGoalMs: 200,
  maxAttempts: 2,
  priority: 1,
  isPublic: false,
  isResumable: true,
  split: [{ service: "s", weight: 1 }],
};

function check(
  routes: readonly Partial<Route>[],
  changes: Partial<RoutingConfig> = {},
  keyOwners: readonly (readonly [string, string])[] = [],
): string[] {
  const config: RoutingConfig = {
    version: 1,
    routes: routes.map((route) => ({ ...ROUTE, ...route })),
    services: new Map([["s", { name: "s", engine: undefined }]]),
    limits: { headerBytes: 1, bodyBytes: 1, headerMs: 500, idleMs: 1_000 },
    customersByKey: new Map(),
    ...changes,
  };
  return checkRouting({ config, keyOwners }).map((
    { kind, entry, field, message },
  ) => `${kind}: ${entry}: ${field}: ${message}`);
}

test("a sound configuration has no findings", () => {
  expect(check([{}])).toEqual([]);
});

test.each<[string, Partial<Route>, string]>([
  [
    "an unknown service",
    { split: [{ service: "s", weight: 1 }, { service: "t", weight: 1 }] },
    'error: route "r": split: service "t" is not configured',
  ],
  [
    "a prefix without a final slash",
    { pathPrefix: "/x" },
    'error: route "r": pathPrefix: "/x" must begin and end with "/"',
  ],
  [
    "a goal above the timeout",
    { firstByteGoalMs: 2_000 },
    'contradiction: route "r": firstByteGoalMs: 2000 must be at most the timeout of 1000',
  ],
  [
    "a resumable stream with one attempt",
    { maxAttempts: 1 },
    'contradiction: route "r": maxAttempts: 1 must be at least 2 for a resumable stream',
  ],
  [
    "a resumable call",
    { retryPolicy: "idempotent" },
    'unreachable: route "r": isResumable: only streams are resumed',
  ],
])("a route with %s is found", (_name, route, finding) => {
  expect(check([route])).toContain(finding);
});

test("a route whose requests an earlier route gets is found", () => {
  expect(check([{}, { name: "later" }])).toEqual([
    'unreachable: route "later": pathPrefix: "a.example/x/" is already that of route "r"',
  ]);
});

test("services without a route, and timeouts shorter than the limit of the header, are found", () => {
  const services = new Map(
    ["s", "u"].map((name) => [name, { name, engine: undefined }]),
  );
  const limits = { headerBytes: 1, bodyBytes: 1, headerMs: 3_000, idleMs: 1 };
  expect(check([{}], { services, limits })).toEqual([
    'unreachable: service "u": split: no route leads to the service',
    "contradiction: limits: headerMs: 3000 must be at most the shortest timeout of a route, 1000",
  ]);
});

test("a key of two customers is found, and shown in part only", () => {
  const findings = check([{}], {}, [["secret-key", "a"], ["secret-key", "b"]]);
  expect(findings).toEqual([
    'error: customer "b": apiKeys: key secr... must belong to one customer, also listed by "a"',
  ]);
});

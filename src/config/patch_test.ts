import { expect, test } from "vitest";
import { applyPatch, parseConfig } from "./patch.ts";
import { type Config, EMPTY_CONFIG } from "./schema.ts";

const customer = { keyDigests: [], requestsPerS: 5, concurrentRequests: 2 };
const engine = { kind: "engine", url: "http://10.0.0.1:1", failureDomain: "a" };
const document = {
  customers: { "label-a": customer },
  targets: {
    e1: engine,
    e2: engine,
    e3: engine,
    s1: { ...engine, kind: "service" },
  },
  pipelines: {
    p: {
      model: "m",
      version: "v1",
      layerCount: 8,
      customers: ["label-a"],
      stages: [
        { first: 0, end: 4, targets: ["e1"] },
        { first: 4, end: 8, targets: ["e2"] },
      ],
      standbys: ["e3"],
    },
  },
  services: { desk: { customers: ["label-a"], targets: ["s1"] } },
};
const base = parseConfig(document).unwrap();

function stages(...spans: [number, number, ...string[]][]): object {
  const list = spans.map(([first, end, ...targets]) => ({
    first,
    end,
    targets,
  }));
  return { pipelines: { p: { stages: list } } };
}

const INVALID_PATCHES: [string, object, string][] = [
  ["gap", stages([0, 3, "e1"], [4, 8, "e2"]), "/pipelines/p/stages/1/first"],
  [
    "overlap",
    stages([0, 5, "e1"], [4, 8, "e2"]),
    "/pipelines/p/stages/1/first",
  ],
  ["short", stages([0, 4, "e1"], [4, 7, "e2"]), "/pipelines/p/stages/1/end"],
  ["long", stages([0, 4, "e1"], [4, 9, "e2"]), "/pipelines/p/stages/1/end"],
  [
    "empty span",
    stages([0, 0, "e1"], [0, 8, "e2"]),
    "/pipelines/p/stages/0/end",
  ],
  [
    "unknown target",
    stages([0, 8, "e9"]),
    "/pipelines/p/stages/0/targets/0",
  ],
  ["wrong kind", stages([0, 8, "s1"]), "/pipelines/p/stages/0/targets/0"],
  [
    "in two spans",
    stages([0, 4, "e1"], [4, 8, "e1"]),
    "/pipelines/p/stages/1/targets/0",
  ],
  [
    "in two pipelines",
    { pipelines: { q: { ...document.pipelines.p, standbys: [] } } },
    "/pipelines/q/stages/0/targets/0",
  ],
  [
    "standby holds a stage",
    { pipelines: { p: { standbys: ["e1"] } } },
    "/pipelines/p/standbys/0",
  ],
  ["still used", { targets: { e1: null } }, "/pipelines/p/stages/0/targets/0"],
  [
    "unknown customer",
    { services: { desk: { customers: ["nobody"] } } },
    "/services/desk/customers/0",
  ],
  [
    "unknown field",
    { customers: { "label-a": { x: 1 } } },
    "/customers/label-a/x",
  ],
  ["unknown section", { other: {} }, "/other"],
  ["bad name", { customers: { "A B": customer } }, "/customers/A B"],
  [
    "reserved name",
    { customers: { constructor: customer } },
    "/customers/constructor",
  ],
  [
    "prototype",
    JSON.parse(`{"customers":{"__proto__":{"x":1}}}`),
    "/customers/__proto__",
  ],
  [
    "key of two customers",
    {
      customers: {
        "label-a": { keyDigests: ["0".repeat(64)] },
        "label-b": { ...customer, keyDigests: ["0".repeat(64)] },
      },
    },
    "/customers/label-b/keyDigests/0",
  ],
  [
    "credentials in a URL",
    { targets: { e1: { url: "http://u:p@10.0.0.1:1" } } },
    "/targets/e1/url",
  ],
  [
    "link of no domain",
    { links: [{ from: "a", to: "zz", tokensPerS: 1, delayMs: 0 }] },
    "/links/0/to",
  ],
];

test.each(INVALID_PATCHES)("%s is refused whole", (_, patch, path) => {
  const before = structuredClone(base);
  const rejected = applyPatch(base, { format: "merge-patch", patch });
  const failure = rejected.unwrapErr();
  expect(failure).toMatchObject({ verdict: "not-run", code: "bad-request" });
  expect(failure.faults?.map((fault) => fault.path)).toContain(path);
  expect(base).toEqual(before);
});

const VALID_PATCHES: [
  string,
  "merge-patch" | "json-patch",
  unknown,
  (c: Config) => unknown,
  unknown,
][] = [
  [
    "merge patch of a field",
    "merge-patch",
    { targets: { e1: { draining: true } } },
    (config) => config.targets.e1.draining,
    true,
  ],
  [
    "merge patch that takes a field back to its default",
    "merge-patch",
    { customers: { "label-a": { priority: null } } },
    (config) => config.customers["label-a"].priority,
    5,
  ],
  [
    "JSON patch of a field",
    "json-patch",
    [{ op: "replace", path: "/customers/label-a/requestsPerS", value: 9 }],
    (config) => config.customers["label-a"].requestsPerS,
    9,
  ],
  [
    "JSON patch that copies an entry",
    "json-patch",
    [{ op: "copy", from: "/targets/e3", path: "/targets/e4" }],
    (config) => config.targets.e4.url,
    engine.url,
  ],
  [
    "JSON patch that adds a link",
    "json-patch",
    [{
      op: "add",
      path: "/links/-",
      value: { from: "a", to: "a", tokensPerS: 1, delayMs: 0 },
    }],
    (config) => config.links.length,
    1,
  ],
  [
    "merge patch that empties all",
    "merge-patch",
    {
      pipelines: null,
      services: null,
      customers: null,
      targets: null,
    },
    (config) => config,
    EMPTY_CONFIG,
  ],
];

test.each(VALID_PATCHES)("%s", (_, format, patch, select, expected) => {
  const before = structuredClone(base);
  const config = applyPatch(base, { format, patch }).unwrap();
  expect(select(config)).toEqual(expected);
  expect(parseConfig(config).unwrap()).toEqual(config);
  expect(base).toEqual(before);
});

test("a JSON patch whose test fails changes nothing", () => {
  const patch = [
    { op: "replace", path: "/targets/e1/draining", value: true },
    { op: "test", path: "/targets/e2/draining", value: true },
  ];
  const rejected = applyPatch(base, { format: "json-patch", patch });
  expect(rejected.unwrapErr().faults?.[0].path).toBe("/1");
  expect(base.targets.e1.draining).toBe(false);
});

import { expect, test } from "vitest";
import { FakeConfig } from "../../test/pipelines_fakes.ts";
import { ManualClock } from "../../test/manual_clock.ts";
import { seededRandom } from "../common/random.ts";
import type { ConfigDocument } from "../config/schema.ts";
import { ChainPicker } from "./chain_picker.ts";
import { TargetDirectory } from "./target_directory.ts";

const SPANS = {
  a: [0, 4],
  b: [4, 8],
  c: [0, 4],
  d: [4, 8],
  e: [2, 8],
} as const;

function setUp() {
  const clock = new ManualClock();
  const targets: ConfigDocument["targets"] = {};
  for (const name of Object.keys(SPANS)) {
    targets[name] = {
      kind: "engine",
      url: `http://${name}`,
      failureDomain: "fd-1",
    };
  }
  const config = new FakeConfig({
    targets,
    pipelines: {
      p: {
        model: "m",
        version: "v1",
        layerCount: 8,
        customers: [],
        stages: [
          { first: 0, end: 4, targets: ["a", "c"] },
          { first: 4, end: 8, targets: ["b", "d"] },
        ],
        standbys: ["e"],
      },
    },
  });
  const directory = new TargetDirectory({ config, clock });
  const picker = new ChainPicker({
    config,
    directory,
    clock,
    random: seededRandom(1),
  });
  for (const name of Object.keys(SPANS) as (keyof typeof SPANS)[]) {
    publish(name, {});
  }
  return { config, directory, picker, publish, clock };

  function publish(target: keyof typeof SPANS, change: object): void {
    const [first, end] = SPANS[target];
    directory.recordState({
      target,
      first,
      end,
      model: "m",
      version: "v1",
      adapters: [],
      role: "both",
      generation: 1,
      fence: 0,
      leaving: false,
      loading: false,
      load: { running: 0, queued: 0, asOfWallMs: 0 },
      ...change,
    });
  }
}

const REQUEST = { pipeline: "p", prefixHash: 1, avoid: new Set<string>() };

test("a chain covers the model once and spreads over own work in flight", () => {
  const { picker } = setUp();
  const picks = [1, 2, 3, 4].map(() => picker.pick(REQUEST).unwrap());
  for (const { chain } of picks) {
    expect(chain.map(({ first, end }) => [first, end])).toEqual([[0, 4], [
      4,
      8,
    ]]);
  }
  const used = picks.flatMap(({ chain }) => chain.map(({ target }) => target));
  expect(used.sort()).toEqual(["a", "a", "b", "b", "c", "c", "d", "d"]);
});

test.each([
  ["leaving", { leaving: true }],
  ["loading", { loading: true }],
  ["of another version", { version: "v2" }],
  ["of another span", { first: 5 }],
])("a target that is %s is not picked", (_name, change) => {
  const { picker, publish } = setUp();
  publish("b", change);
  for (let count = 0; count < 20; count++) {
    const { chain } = picker.pick(REQUEST).unwrap();
    expect(chain.map(({ target }) => target)).not.toContain("b");
  }
});

test("without a whole chain the refusal says when to come back", () => {
  const { picker, directory, clock } = setUp();
  directory.markLost("b");
  const failure = picker.pick({ ...REQUEST, avoid: new Set(["d"]) })
    .unwrapErr();
  expect(failure).toMatchObject({ verdict: "not-run", code: "no-target" });
  expect(failure.retryAtWallMs).toBeGreaterThan(clock.wallMs());
});

test("a request stays on its version while a roll-out moves the weights", () => {
  const { picker, publish } = setUp();
  const pinned = picker.pick(REQUEST).unwrap();
  publish("a", { version: "v2", generation: 2 });
  publish("b", { version: "v2", generation: 2 });
  const versions = new Set<string>();
  for (let count = 0; count < 40; count++) {
    const { chain, version } = picker.pick(REQUEST).unwrap();
    versions.add(version);
    expect(chain.map(({ target }) => target)).toEqual(
      version === "v2" ? ["a", "b"] : ["c", "d"],
    );
    const { version: kept, model, adapter } = pinned;
    const resumed = picker.pick({ ...REQUEST, version: kept, model, adapter });
    expect(resumed.unwrap().version).toBe("v1");
  }
  expect([...versions].sort()).toEqual(["v1", "v2"]);
});

test("requests of one prefix keep to one chain until it is fuller", () => {
  const { picker } = setUp();
  for (let hash = 100; hash < 200; hash++) {
    picker.pick({ ...REQUEST, prefixHash: hash }).unwrap().dispose();
  }
  picker.pick({ ...REQUEST, prefixHash: 7 }).unwrap().dispose();
  const chains = new Set<string>();
  for (let count = 0; count < 10; count++) {
    const pick = picker.pick({ ...REQUEST, prefixHash: 7 }).unwrap();
    chains.add(pick.chain.map(({ target }) => target).join());
    pick.dispose();
  }
  expect(chains.size).toBe(1);
  const held = Array.from(
    { length: 8 },
    () => picker.pick({ ...REQUEST, prefixHash: 7 }).unwrap(),
  );
  const first = new Set(held.map(({ chain }) => chain[0].target));
  expect(first.size).toBe(2);
});

test("failures move work away from a target and fade", async () => {
  const { picker, clock } = setUp();
  for (let count = 0; count < 10; count++) picker.reportFailure("a", "stalled");
  expect(countOf("a")).toBeLessThan(10);
  await clock.advance(60_000);
  expect(countOf("a")).toBeGreaterThan(60);

  function countOf(target: string): number {
    let count = 0;
    for (let hash = 0; hash < 200; hash++) {
      const pick = picker.pick({ ...REQUEST, prefixHash: hash }).unwrap();
      if (pick.chain[0].target === target) count++;
      pick.dispose();
    }
    return count;
  }
});

test("a target whose every chain is slow loses work to the others", () => {
  const { picker } = setUp();
  let slowCount = 0;
  for (let hash = 0; hash < 400; hash++) {
    const pick = picker.pick({ ...REQUEST, prefixHash: hash }).unwrap();
    const isSlow = pick.chain[0].target === "a";
    if (isSlow && hash >= 200) slowCount++;
    for (let token = 0; token < 32; token++) {
      const gapMs = isSlow ? 200 : 20;
      picker.reportProgress(pick.chain, { phase: "decode", gapMs });
    }
    pick.dispose();
  }
  expect(slowCount).toBeLessThan(20);
});

test("eight tries are enough for a fleet that became three times as slow", async () => {
  const { picker, clock } = setUp();
  const timeoutsMs: number[] = [];
  for (let attempt = 0; attempt < 24; attempt++) {
    const pick = picker.pick({ ...REQUEST, prefixHash: attempt }).unwrap();
    for (let token = 0; attempt < 16 && token < 64; token++) {
      await clock.advance(20);
      picker.reportProgress(pick.chain, { phase: "decode", gapMs: 20 });
    }
    const timeoutMs = picker.progressTimeoutMs(pick.chain, "decode");
    if (attempt >= 16) await clock.advance(timeoutMs + 1);
    timeoutsMs.push(timeoutMs);
    pick.dispose();
  }
  expect(timeoutsMs[15]).toBeLessThan(100);
  expect(timeoutsMs[23]).toBeGreaterThan(3 * timeoutsMs[15]);
});

import { expect, test } from "vitest";
import { seededRandom } from "../../src/common/random.ts";
import { Faults } from "../common/faults.ts";
import { Batcher } from "./batcher.ts";
import { PrefixCache } from "./prefix_cache.ts";

const words = (count: number, name = "w") =>
  Array.from({ length: count }, (_, index) => `${name}${index}`);

function cacheOf(options: { maxTokens?: number; eventLoss?: number } = {}) {
  const time = { wallMs: 1_000 };
  const cache = new PrefixCache({
    maxTokens: 64,
    eventDelayMs: 500,
    eventLoss: 0,
    random: seededRandom(1),
    wallMs: () => time.wallMs,
    ...options,
  });
  return { cache, time };
}

test("a cached prefix needs no prefill, within its scope and until evicted", () => {
  const { cache } = cacheOf();
  expect(cache.admit("a", words(40))).toBe(40);
  expect(cache.admit("a", words(40))).toBe(8);
  expect(cache.admit("b", words(40))).toBe(40);
  expect(cache.admit("a", words(64, "other"))).toBe(64);
  expect(cache.admit("a", words(40))).toBe(40);
});

test("a prefix exported from one engine is cached at another", () => {
  const { cache: from } = cacheOf();
  const { cache: to } = cacheOf();
  from.admit("a", words(40));
  to.insert(from.exportBlocks("a", words(40)));
  expect(to.admit("a", words(40))).toBe(8);
});

test("events are published with a delay and with losses", () => {
  const { cache, time } = cacheOf({ eventLoss: 0.5, maxTokens: 640 });
  cache.admit("a", words(640));
  expect(cache.events(0)).toEqual([]);
  time.wallMs += 500;
  const seen = cache.events(0);
  expect(seen.length).toBeGreaterThan(5);
  expect(seen.length).toBeLessThan(35);
  expect(cache.events(seen[3].sequence)).toEqual(seen.slice(3));
});

test("a batch runs the highest priorities first", async () => {
  const faults = new Faults();
  const batcher = new Batcher({ faults, tokenMs: 0, maxBatch: 2 });
  const finished: number[] = [];
  const steps = [1, 9, 5, 7].map(async (priority) => {
    await batcher.run({ priority, prefillMs: 0, crashes: false });
    finished.push(priority);
  });
  await Promise.all(steps);
  expect(finished).toEqual([9, 7, 5, 1]);
});

import fc from "fast-check";
import { expect, test } from "vitest";
import type { KeyedRecord } from "../ports/types.ts";
import type { KeyedBatch } from "./keyed_follower.ts";
import { LogMirror } from "./log_mirror.ts";

function batch(
  nextOffset: number,
  records: Record<string, string | undefined>,
  isSnapshot = false,
): KeyedBatch {
  return {
    isSnapshot,
    isComplete: true,
    nextOffset,
    records: Object.entries(records).map(([key, value]) => ({
      key,
      value: value === undefined ? undefined : Buffer.from(value),
    })),
  };
}

function textOf(records: readonly KeyedRecord[]): Record<string, string> {
  return Object.fromEntries(
    records.map(({ key, value }) => [key, value?.toString() ?? "dropped"]),
  );
}

test("repeated values are nothing new, changed and dropped ones are", () => {
  const mirror = new LogMirror();
  mirror.apply(batch(10, { a: "1", b: "1" }, true));
  mirror.apply(batch(12, { a: "1", b: "1" }));
  expect(mirror.readAfter(10)).toEqual({ records: [], nextOffset: 12 });
  mirror.apply(batch(15, { a: "2", b: undefined, c: "1" }));
  const read = mirror.readAfter(12);
  expect(read?.nextOffset).toBe(15);
  expect(textOf(read?.records ?? [])).toEqual({ a: "2", b: "dropped", c: "1" });
  expect(mirror.readAfter(15)?.records).toEqual([]);
});

test("nothing is told of what came before the first record or after the last", () => {
  const mirror = new LogMirror();
  expect(mirror.readAfter(0)).toBeUndefined();
  mirror.apply(batch(10, { a: "1" }, true));
  expect(mirror.readAfter(9)).toBeUndefined();
  expect(mirror.readAfter(11)).toBeUndefined();
  expect(mirror.readAfter(10)).toBeDefined();
});

test("a value too large for an answer is not told, the next small one is", () => {
  const mirror = new LogMirror();
  mirror.apply(batch(1, {}, true));
  mirror.apply(batch(2, { a: "x".repeat(7_000) }));
  expect(mirror.readAfter(1)).toBeUndefined();
  expect(mirror.readAfter(2)?.records).toEqual([]);
  mirror.apply(batch(3, { a: "small" }));
  expect(textOf(mirror.readAfter(1)?.records ?? [])).toEqual({ a: "small" });
});

test("after many dropped keys, only a host that knows them is answered", () => {
  const mirror = new LogMirror();
  mirror.apply(batch(0, {}, true));
  for (let i = 1; i <= 1_001; i++) {
    mirror.apply(batch(i, { [`k${i}`]: undefined }));
  }
  expect(mirror.readAfter(1_000)).toBeUndefined();
  expect(mirror.readAfter(1_001)).toEqual({ records: [], nextOffset: 1_001 });
});

test("a host that only asks ends with the same records as one that reads all", () => {
  const step = fc.record({
    key: fc.constantFrom("a", "b", "c"),
    value: fc.option(fc.constantFrom("1", "2", "3"), { nil: undefined }),
    isAsked: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      const mirror = new LogMirror();
      mirror.apply(batch(0, {}, true));
      const whole = new Map<string, string>();
      const asked = new Map<string, string>();
      let askedOffset = 0;
      const ask = () => {
        const read = mirror.readAfter(askedOffset);
        if (read === undefined) throw new Error("no answer");
        askedOffset = read.nextOffset;
        for (const { key, value } of read.records) {
          if (value === undefined) asked.delete(key);
          else asked.set(key, value.toString());
        }
      };
      steps.forEach(({ key, value, isAsked }, index) => {
        mirror.apply(batch(index + 1, { [key]: value }));
        if (value === undefined) whole.delete(key);
        else whole.set(key, value);
        if (isAsked) ask();
      });
      ask();
      expect(asked).toEqual(whole);
    }),
    { seed: 20261203, numRuns: 300 },
  );
});

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
    records.map(({ key, value }) => [key, value?.toString() ?? "deleted"]),
  );
}

test("repeated values are not returned, changed values and deleted keys are", () => {
  const mirror = new LogMirror();
  mirror.apply(batch(10, { a: "1", b: "1" }, true));
  mirror.apply(batch(12, { a: "1", b: "1" }));
  expect(mirror.readAfter(10)).toEqual({ records: [], nextOffset: 12 });
  mirror.apply(batch(15, { a: "2", b: undefined, c: "1" }));
  const read = mirror.readAfter(12);
  expect(read?.nextOffset).toBe(15);
  expect(textOf(read?.records ?? [])).toEqual({ a: "2", b: "deleted", c: "1" });
  expect(mirror.readAfter(15)?.records).toEqual([]);
});

test("a read before the first offset or after the last one returns undefined", () => {
  const mirror = new LogMirror();
  expect(mirror.readAfter(0)).toBeUndefined();
  mirror.apply(batch(10, { a: "1" }, true));
  expect(mirror.readAfter(9)).toBeUndefined();
  expect(mirror.readAfter(11)).toBeUndefined();
  expect(mirror.readAfter(10)).toBeDefined();
});

test("a value too large for a datagram is not returned, a later small one is", () => {
  const mirror = new LogMirror();
  mirror.apply(batch(1, {}, true));
  mirror.apply(batch(2, { a: "x".repeat(7_000) }));
  expect(mirror.readAfter(1)).toBeUndefined();
  expect(mirror.readAfter(2)?.records).toEqual([]);
  mirror.apply(batch(3, { a: "small" }));
  expect(textOf(mirror.readAfter(1)?.records ?? [])).toEqual({ a: "small" });
});

test("after tombstones are evicted, only reads from a later offset are answered", () => {
  const mirror = new LogMirror();
  mirror.apply(batch(0, {}, true));
  for (let i = 1; i <= 1_001; i++) {
    mirror.apply(batch(i, { [`k${i}`]: undefined }));
  }
  expect(mirror.readAfter(1_000)).toBeUndefined();
  expect(mirror.readAfter(1_001)).toEqual({ records: [], nextOffset: 1_001 });
});

test("a host that queries the mirror ends with the same records as one that reads the log", () => {
  const step = fc.record({
    key: fc.constantFrom("a", "b", "c"),
    value: fc.option(fc.constantFrom("1", "2", "3"), { nil: undefined }),
    isQueried: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      const mirror = new LogMirror();
      mirror.apply(batch(0, {}, true));
      const expected = new Map<string, string>();
      const queried = new Map<string, string>();
      let queriedOffset = 0;
      const query = () => {
        const read = mirror.readAfter(queriedOffset);
        if (read === undefined) throw new Error("no answer");
        queriedOffset = read.nextOffset;
        for (const { key, value } of read.records) {
          if (value === undefined) queried.delete(key);
          else queried.set(key, value.toString());
        }
      };
      steps.forEach(({ key, value, isQueried }, index) => {
        mirror.apply(batch(index + 1, { [key]: value }));
        if (value === undefined) expected.delete(key);
        else expected.set(key, value);
        if (isQueried) query();
      });
      query();
      expect(queried).toEqual(expected);
    }),
    { seed: 20261203, numRuns: 300 },
  );
});

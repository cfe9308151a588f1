import fc from "fast-check";
import { expect, test } from "vitest";
import { findPath, type PathCandidate } from "./path_finder.ts";

function candidate(
  id: string,
  from: number,
  to: number,
  more: Partial<PathCandidate> = {},
): PathCandidate {
  return {
    id,
    address: `${id}:1`,
    domain: "a",
    span: { from, to },
    msPerLayer: 1,
    canBeFirst: true,
    ...more,
  };
}

test("a path runs every layer once and in order, on any holders", () => {
  const spans = fc.array(
    fc.record({
      from: fc.integer({ min: 0, max: 19 }),
      length: fc.integer({ min: 1, max: 12 }),
      ms: fc.double({ min: 0.01, max: 5, noNaN: true }),
      domain: fc.constantFrom("a", "b", "c"),
    }),
    { minLength: 1, maxLength: 14 },
  );
  fc.assert(
    fc.property(spans, (holders) => {
      const candidates = holders.map(({ from, length, ms, domain }, index) =>
        candidate(`t${index}`, from, Math.min(20, from + length), {
          msPerLayer: ms,
          domain,
        })
      );
      const covered = [...Array(20).keys()].every((layer) =>
        candidates.some(({ span }) => layer >= span.from && layer < span.to)
      );
      const found = findPath({ layers: 20, candidates, domain: "a" });
      if (!covered) expect(found).toBeUndefined();
      if (found === undefined) return;
      let next = 0;
      for (const stage of found.stages) {
        const { span } = candidates[Number(stage.targetId.slice(1))];
        expect(stage.from).toBe(next);
        expect(stage.to).toBeGreaterThan(stage.from);
        expect(stage.from).toBeGreaterThanOrEqual(span.from);
        expect(stage.to).toBeLessThanOrEqual(span.to);
        next = stage.to;
      }
      expect(next).toBe(20);
      const ids = found.stages.map(({ targetId }) => targetId);
      expect(new Set(ids).size).toBe(ids.length);
    }),
    { seed: 20261203, numRuns: 400 },
  );
});

test("the cheaper holder is taken, unless the step to it costs more", () => {
  const candidates = [
    candidate("whole", 0, 20),
    candidate("fast", 10, 20, { msPerLayer: 0.5 }),
    candidate("far", 10, 20, { msPerLayer: 0.4, domain: "b" }),
  ];
  const found = findPath({ layers: 20, candidates, domain: "a" });
  expect(found?.stages.map(({ targetId }) => targetId)).toEqual([
    "whole",
    "fast",
  ]);
});

test("a target that may not lead is no first stage", () => {
  const candidates = [
    candidate("full", 0, 20, { msPerLayer: 0.1, canBeFirst: false }),
    candidate("free", 0, 20),
  ];
  const found = findPath({ layers: 20, candidates, domain: "a" });
  expect(found?.stages[0].targetId).toBe("free");
});

test("a moved request keeps its first stage as it is", () => {
  const first = { targetId: "one", address: "one:1", from: 0, to: 8 };
  const candidates = [
    candidate("one", 0, 12),
    candidate("two", 4, 20),
    candidate("three", 0, 20, { msPerLayer: 0.01 }),
  ];
  const found = findPath({
    layers: 20,
    candidates,
    domain: "a",
    firstStage: first,
  });
  expect(found?.stages[0]).toEqual(first);
  expect(found?.stages[1]).toMatchObject({ from: 8, targetId: "three" });
});

test("no path leads through a layer without a holder", () => {
  const candidates = [candidate("one", 0, 9), candidate("two", 10, 20)];
  expect(findPath({ layers: 20, candidates, domain: "a" })).toBeUndefined();
});

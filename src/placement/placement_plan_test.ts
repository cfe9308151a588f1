import fc from "fast-check";
import { describe, expect, test } from "vitest";
import {
  SITE_DOMAINS,
  SITE_PROFILE,
  siteTargets,
} from "../../test/reference_site.ts";
import { planPlacement } from "./placement_plan.ts";
import type { PlannedOrder, PlanTarget } from "./types.ts";

function apply(
  targets: readonly PlanTarget[],
  orders: readonly PlannedOrder[],
): PlanTarget[] {
  const spans = new Map(orders.map(({ targetId, span }) => [targetId, span]));
  return targets.map((target) => ({
    ...target,
    span: spans.get(target.id) ?? target.span,
  }));
}

function holdersByLayer(targets: readonly PlanTarget[]): number[] {
  return [...Array(SITE_PROFILE.layers).keys()].map((layer) =>
    targets.filter(({ span }) =>
      span !== undefined && layer >= span.from && layer < span.to
    ).length
  );
}

/** Tokens of context for which the holders of each layer have memory. */
function contextTokensByLayer(targets: readonly PlanTarget[]): number[] {
  const bytesPerTokenLayer = SITE_PROFILE.kvBytesPerToken / SITE_PROFILE.layers;
  return [...Array(SITE_PROFILE.layers).keys()].map((layer) =>
    targets.reduce((sum, { span, memoryMb }) => {
      if (span === undefined || layer < span.from || layer >= span.to) {
        return sum;
      }
      const length = span.to - span.from;
      const freeMb = memoryMb - length * SITE_PROFILE.layerMb;
      return sum + freeMb * 1_000_000 / bytesPerTokenLayer / length;
    }, 0)
  );
}

function expectFits(targets: readonly PlanTarget[]): void {
  for (const { span, memoryMb } of targets) {
    if (span === undefined) continue;
    expect(span.from).toBeGreaterThanOrEqual(0);
    expect(span.to).toBeLessThanOrEqual(SITE_PROFILE.layers);
    expect((span.to - span.from) * SITE_PROFILE.layerMb).toBeLessThan(memoryMb);
  }
}

describe("a first plan", () => {
  const targets = siteTargets();
  const placed = apply(
    targets,
    planPlacement({ figures: SITE_PROFILE, targets }),
  );

  test("gives every failure domain a whole replica and uses every target", () => {
    expectFits(placed);
    expect(placed.every(({ span }) => span !== undefined)).toBe(true);
    for (const domain of SITE_DOMAINS) {
      const own = placed.filter((target) => target.domain === domain);
      expect(Math.min(...holdersByLayer(own))).toBeGreaterThanOrEqual(1);
    }
  });

  test("keeps every layer when any one target is lost", () => {
    for (const lost of placed) {
      const left = placed.filter((target) => target !== lost);
      expect(Math.min(...holdersByLayer(left))).toBeGreaterThanOrEqual(1);
    }
  });

  test("keeps every layer when any one failure domain is lost", () => {
    for (const domain of SITE_DOMAINS) {
      const left = placed.filter((target) => target.domain !== domain);
      expect(Math.min(...holdersByLayer(left))).toBeGreaterThanOrEqual(1);
    }
  });

  test("is the same on every host", () => {
    const shuffled = [...targets].reverse();
    expect(new Set(planPlacement({ figures: SITE_PROFILE, targets: shuffled })))
      .toEqual(new Set(planPlacement({ figures: SITE_PROFILE, targets })));
  });
});

/** Deployment A of docs/hard-load.md: a token takes a third of the memory. */
const A_PROFILE = { ...SITE_PROFILE, kvBytesPerToken: 492_000 };
const A_COUNTS = { a: [2, 0, 9, 24], b: [4, 0, 11, 10], c: [3, 0, 16, 14] };

describe("the memory for requests of a replica", () => {
  // Otherwise an upgrade of the hosts would reload the whole fleet.
  test("moves nothing on a fleet that was placed with more of it", () => {
    const figures = { ...A_PROFILE, slots: 10_000 };
    const targets = siteTargets(A_COUNTS);
    const placed = apply(targets, planPlacement({ figures, targets }));
    expect(planPlacement({ figures: A_PROFILE, targets: placed })).toEqual([]);
    const returned = [{ ...placed[0], span: undefined }, ...placed.slice(1)];
    const orders = planPlacement({ figures: A_PROFILE, targets: returned });
    expect(orders.map(({ targetId }) => targetId)).toEqual([placed[0].id]);
    expectFits(apply(returned, orders));
  });

  // Without a lower bound, two targets with 3 in 100 of free memory would do.
  test("is not less than a fifth of the weights if there are few slots", () => {
    const figures = { ...SITE_PROFILE, slots: 1 };
    const targets = siteTargets({ a: [4, 0, 0] });
    const placed = apply(targets, planPlacement({ figures, targets }));
    for (const { span, memoryMb } of placed) {
      const length = span === undefined ? 0 : span.to - span.from;
      expect(length * figures.layerMb * 1.2).toBeLessThanOrEqual(memoryMb);
    }
  });

  test("is that of the ratio on the reference site", () => {
    const targets = siteTargets();
    const manySlots = { ...SITE_PROFILE, slots: 10_000 };
    expect(planPlacement({ figures: SITE_PROFILE, targets }))
      .toEqual(planPlacement({ figures: manySlots, targets }));
  });
});

function smallTargets(count: number, memoryMb: number): PlanTarget[] {
  const [target] = siteTargets({ a: [0, 0, 1] });
  return Array.from(
    { length: count },
    (_, index) => ({ ...target, id: `t${index}`, memoryMb }),
  );
}

// An order for an empty span would be repeated for ever.
test("a target too small for one layer gets no order", () => {
  const [tiny] = smallTargets(1, 1_500);
  const targets = [...siteTargets(), { ...tiny, id: "tiny" }];
  const first = planPlacement({ figures: SITE_PROFILE, targets });
  expect(first.map(({ targetId }) => targetId)).not.toContain("tiny");
  const placed = apply(targets, first);
  expect(planPlacement({ figures: SITE_PROFILE, targets: placed })).toEqual([]);
  // Nor is it moved to a gap, if an earlier version has placed it.
  const [low] = siteTargets({ a: [1, 0, 0] });
  const withGap = [
    { ...low, span: { from: 0, to: 39 } },
    { ...tiny, span: { from: 0, to: 1 } },
  ];
  expect(planPlacement({ figures: SITE_PROFILE, targets: withGap })).toEqual(
    [],
  );
});

// The memory of 75 such targets is 1.6 times the weights, but holds 75 layers.
test("every layer is placed on targets that hold one layer each", () => {
  const targets = smallTargets(150, 3_000);
  const placed = apply(
    targets,
    planPlacement({ figures: SITE_PROFILE, targets }),
  );
  expectFits(placed);
  expect(Math.min(...holdersByLayer(placed))).toBeGreaterThanOrEqual(1);
});

test("on any fleet, orders fit into memory, do not depend on the order of the targets, and move nothing while each layer has a holder", () => {
  const counts = fc.array(fc.nat({ max: 12 }), { minLength: 4, maxLength: 4 });
  const fleets = fc.record({
    domains: fc.array(counts, { minLength: 1, maxLength: 3 }),
    emptied: fc.array(fc.nat({ max: 143 }), { maxLength: 12 }),
    kvBytesPerToken: fc.integer({ min: 100_000, max: 2_000_000 }),
    slots: fc.integer({ min: 1, max: 500 }),
  });
  fc.assert(
    fc.property(fleets, ({ domains, emptied, ...rest }) => {
      const figures = { ...SITE_PROFILE, ...rest };
      const targets = siteTargets(
        Object.fromEntries(domains.map((counts, index) => [index, counts])),
      );
      const first = planPlacement({ figures, targets });
      expect(planPlacement({ figures, targets: [...targets].reverse() }))
        .toEqual(first);
      const placed = apply(targets, first);
      expectFits(placed);
      const returned = placed.map((target, index) =>
        emptied.includes(index) ? { ...target, span: undefined } : target
      );
      const added = planPlacement({ figures, targets: returned });
      expectFits(apply(returned, added));
      const spans = new Map(returned.map(({ id, span }) => [id, span]));
      if (Math.min(...holdersByLayer(returned)) > 0) {
        for (const { targetId } of added) {
          expect(spans.get(targetId)).toBeUndefined();
        }
      }
    }),
    { seed: 20261204, numRuns: 100 },
  );
});

test("a replica that barely fits into memory covers every layer", () => {
  const targets = siteTargets({ a: [0, 0, 8] });
  const placed = apply(
    targets,
    planPlacement({ figures: SITE_PROFILE, targets }),
  );
  expectFits(placed);
  expect(holdersByLayer(placed)).toEqual(new Array(80).fill(1));
});

test("domains that are too small for a replica of their own share one", () => {
  const targets = siteTargets({ a: [0, 2, 0], b: [0, 2, 0], c: [0, 1, 0] });
  const placed = apply(
    targets,
    planPlacement({ figures: SITE_PROFILE, targets }),
  );
  expectFits(placed);
  expect(Math.min(...holdersByLayer(placed))).toBeGreaterThanOrEqual(1);
});

describe("a later plan", () => {
  const placed = apply(
    siteTargets(),
    planPlacement({ figures: SITE_PROFILE, targets: siteTargets() }),
  );

  test("moves no serving target while all layers are placed", () => {
    expect(planPlacement({ figures: SITE_PROFILE, targets: placed })).toEqual(
      [],
    );
  });

  test("gives an empty target the layers that restore most of the smallest capacity", () => {
    const atFirst = Math.min(...contextTokensByLayer(placed));
    for (const lost of placed) {
      const targets = placed.map((target) =>
        target === lost ? { ...target, span: undefined } : target
      );
      const orders = planPlacement({ figures: SITE_PROFILE, targets });
      expect(orders.map(({ targetId }) => targetId)).toEqual([lost.id]);
      const after = apply(targets, orders);
      expectFits(after);
      const least = Math.min(...contextTokensByLayer(after));
      expect(least).toBeGreaterThanOrEqual(
        Math.min(...contextTokensByLayer(targets)),
      );
      expect(least).toBeGreaterThan(atFirst * 0.7);
    }
  });

  test("sends no order to a target that can't accept one", () => {
    const targets = placed.map((target, index) =>
      index === 0
        ? { ...target, span: undefined, canAcceptOrder: false }
        : target
    );
    expect(planPlacement({ figures: SITE_PROFILE, targets })).toEqual([]);
  });

  test("extends a neighbor's span over a gap if no target can be moved", () => {
    const cut = (id: string, from: number, to: number) => ({
      ...siteTargets({ a: [1, 0, 0] })[0],
      id,
      span: { from, to },
    });
    // Each target is the only holder of its layers; at most 41 layers fit into one.
    const targets = [cut("high", 45, 80), cut("low", 0, 25)];
    expect(planPlacement({ figures: SITE_PROFILE, targets })).toEqual([
      { targetId: "low", span: { from: 0, to: 39 } },
    ]);
    const after = apply(
      targets,
      planPlacement({ figures: SITE_PROFILE, targets }),
    );
    expect(planPlacement({ figures: SITE_PROFILE, targets: after })).toEqual([
      { targetId: "high", span: { from: 41, to: 80 } },
    ]);
    const isBusy = { ...targets[1], canAcceptOrder: false };
    expect(planPlacement({ figures: SITE_PROFILE, targets: [isBusy] })).toEqual(
      [],
    );
  });

  test("moves at most one target to cover a layer without a holder, and uncovers no other layer", () => {
    const pick = fc.subarray([...placed.keys()], { maxLength: 24 });
    fc.assert(
      fc.property(pick, (lost) => {
        let targets = placed.filter((_, index) => !lost.includes(index));
        const before = holdersByLayer(targets);
        const orders = planPlacement({ figures: SITE_PROFILE, targets });
        expect(orders.length).toBeLessThanOrEqual(1);
        targets = apply(targets, orders);
        expectFits(targets);
        const after = holdersByLayer(targets);
        after.forEach((holders, layer) => {
          if (before[layer] > 0) expect(holders).toBeGreaterThan(0);
        });
      }),
      { seed: 20261203, numRuns: 200 },
    );
  });
});

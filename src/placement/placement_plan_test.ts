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

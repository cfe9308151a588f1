/**
 * Placement planners to compare: the product's and two baselines.
 *
 * @module
 */

import { planPlacement } from "../../src/placement/placement_plan.ts";
import type { PlannedOrder, PlanTarget } from "../../src/placement/types.ts";
import type { EngineProfile } from "../../src/ports/types.ts";
import type { Planner } from "./types.ts";

/** Largest share of a target's memory for weights; requests need the rest. */
const MAX_WEIGHT_SHARE = 0.97;

export const PLANNERS: Readonly<Record<string, Planner>> = {
  product: (figures, targets) => planPlacement({ figures, targets }),
  "fewest targets": (figures, targets) =>
    perDomain(
      targets,
      (domainTargets) =>
        fill(
          figures,
          [...domainTargets].sort((a, b) => b.memoryMb - a.memoryMb),
          1,
        ),
    ),
  "most copies": (figures, targets) =>
    fill(
      figures,
      [...targets].sort((a, b) => a.domain < b.domain ? -1 : 1),
      Infinity,
    ),
};

/** Fills one target after the other with layers, for at most `copies` copies. */
function fill(
  figures: EngineProfile,
  targets: readonly PlanTarget[],
  copies: number,
): PlannedOrder[] {
  const orders: PlannedOrder[] = [];
  let copy: PlannedOrder[] = [];
  let from = 0;
  let copyCount = 0;
  for (const { id, memoryMb } of targets) {
    if (copyCount >= copies) break;
    const maxLayers = Math.floor(memoryMb * MAX_WEIGHT_SHARE / figures.layerMb);
    const to = Math.min(figures.layers, from + maxLayers);
    copy.push({ targetId: id, span: { from, to } });
    from = to;
    if (to < figures.layers) continue;
    orders.push(...copy);
    copy = [];
    from = 0;
    copyCount++;
  }
  return orders;
}

function perDomain(
  targets: readonly PlanTarget[],
  plan: (domainTargets: readonly PlanTarget[]) => PlannedOrder[],
): PlannedOrder[] {
  const domains = new Set(targets.map(({ domain }) => domain));
  return [...domains].flatMap((domain) =>
    plan(targets.filter((target) => target.domain === domain))
  );
}

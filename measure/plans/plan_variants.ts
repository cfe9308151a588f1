/**
 * Placement plans to compare: the product's, two baselines, and alternatives
 * that differ from the product's in how a failure domain's targets are grouped
 * into replicas and in what the spares hold.
 *
 * @module
 */

import { planPlacement } from "../../src/placement/placement_plan.ts";
import type { PlannedOrder, PlanTarget } from "../../src/placement/types.ts";
import type { EngineProfile } from "../../src/ports/types.ts";
import { PLANNERS } from "../placed/planners.ts";
import type { Planner } from "../placed/types.ts";

/** Decode steps of a pass of a target with decoding requests. */
const STEPS_PER_PASS = 4;
const MAX_WEIGHT_SHARE = 0.97;
const MIN_REPLICA_MEMORY_FACTOR = 1.1;
/** Memory for requests relative to the weights, as in the earlier plan. */
const REQUEST_MEMORY_RATIO = 0.6;

type Order = (a: PlanTarget, b: PlanTarget) => number;

interface Variant {
  /** Memory for requests relative to the weights; that of the earlier plan. */
  readonly ratio?: number;
  readonly group?: (
    targets: readonly PlanTarget[],
    replicaMb: number,
    minMb: number,
  ) => readonly (readonly PlanTarget[])[];
  /** Order of the targets of a replica over the layers; by default fastest first. */
  readonly order?: Order;
  /**
   * Smallest share of the memory for requests that a division in proportion to
   * memory would have; the rest is spent on dividing by speed. 1 if absent.
   */
  readonly memoryShare?: number;
  /** Targets of each domain that hold first layers only, beside the replicas. */
  readonly extraFirst?: number;
}

export const PLAN_VARIANTS: Readonly<Record<string, Planner>> = {
  ...PLANNERS,
  "earlier plan": variant({}),
  "slowest first": variant({ order: slowestFirst }),
  "slowest first, less memory": variant({ ratio: 0.23, order: slowestFirst }),
  "divided by speed": variant({ memoryShare: 0.6 }),
  "even mix of kinds": variant({ group: evenMix }),
  "even mix, by speed": variant({ group: evenMix, memoryShare: 0.6 }),
  "two first spares": variant({ extraFirst: 2 }),
};

function variant({
  ratio = REQUEST_MEMORY_RATIO,
  group = fastestFirst,
  order = bySpeed,
  memoryShare = 1,
  extraFirst = 0,
}: Variant): Planner {
  return (figures, targets) => {
    const weightsMb = figures.layers * figures.layerMb;
    const orders: PlannedOrder[] = [];
    for (const domain of new Set(targets.map(({ domain }) => domain))) {
      const own = targets.filter((target) => target.domain === domain)
        .sort(bySpeed);
      const first = own.splice(own.length - extraFirst, extraFirst);
      for (const target of first) {
        const to = Math.floor(
          target.memoryMb / (figures.layerMb * (1 + ratio)),
        );
        orders.push({ targetId: target.id, span: { from: 0, to } });
      }
      const groups = group(
        own,
        weightsMb * (1 + ratio),
        weightsMb * MIN_REPLICA_MEMORY_FACTOR,
      );
      for (const replica of groups) {
        orders.push(
          ...divide(figures, [...replica].sort(order), memoryShare),
        );
      }
    }
    return [...orders, ...planSpares(figures, targets, orders)];
  };
}

/** The product's plan for the targets that are left over. */
function planSpares(
  figures: EngineProfile,
  targets: readonly PlanTarget[],
  orders: readonly PlannedOrder[],
): PlannedOrder[] {
  const spans = new Map(orders.map(({ targetId, span }) => [targetId, span]));
  return planPlacement({
    figures,
    targets: targets.map((one) => ({ ...one, span: spans.get(one.id) })),
  });
}

/** Fills one replica after the other, fastest targets first. */
function fastestFirst(
  targets: readonly PlanTarget[],
  replicaMb: number,
  minMb: number,
): PlanTarget[][] {
  const groups: PlanTarget[][] = [];
  let group: PlanTarget[] = [];
  for (const target of targets) {
    group.push(target);
    if (memoryOf(group) < replicaMb) continue;
    groups.push(group);
    group = [];
  }
  return memoryOf(group) >= minMb ? [...groups, group] : groups;
}

/** As many replicas, each with about the same share of every kind. */
function evenMix(
  targets: readonly PlanTarget[],
  replicaMb: number,
  minMb: number,
): PlanTarget[][] {
  const count = fastestFirst(targets, replicaMb, minMb).length;
  const groups: PlanTarget[][] = Array.from({ length: count }, () => []);
  if (count === 0) return [];
  for (const target of targets) {
    const least = groups.reduce((a, b) => memoryOf(b) < memoryOf(a) ? b : a);
    least.push(target);
  }
  return groups;
}

/** Divides the model in proportion to memory, as the product does, or to speed. */
function divide(
  figures: EngineProfile,
  replica: readonly PlanTarget[],
  memoryShare: number,
): PlannedOrder[] {
  const limits = replica.map(({ memoryMb }) =>
    Math.floor(memoryMb * MAX_WEIGHT_SHARE / figures.layerMb)
  );
  let lengths = fill(
    figures,
    limits,
    (index, length) => length / replica[index].memoryMb,
  );
  if (memoryShare < 1) {
    const layerMb = Math.min(
      ...lengths.map((length, index) =>
        length === 0 ? Infinity : replica[index].memoryMb / length
      ),
    );
    const neededMb = figures.layerMb +
      memoryShare * (layerMb - figures.layerMb);
    const tight = replica.map(({ memoryMb }, index) =>
      Math.min(limits[index], Math.floor(memoryMb / neededMb))
    );
    lengths = fill(
      figures,
      tight,
      (index, length) => length * workOf(figures, replica[index]),
    );
  }
  let from = 0;
  return replica.map(({ id }, index) => {
    const span = { from, to: from + lengths[index] };
    from = span.to;
    return { targetId: id, span };
  }).filter(({ span }) => span.to > span.from);
}

/** Adds each layer where `cost` is least afterwards. */
function fill(
  figures: EngineProfile,
  limits: readonly number[],
  cost: (index: number, length: number) => number,
): number[] {
  const lengths = limits.map(() => 0);
  for (let layer = 0; layer < figures.layers; layer++) {
    let best = -1;
    limits.forEach((limit, index) => {
      if (lengths[index] >= limit) return;
      const isBetter = best < 0 ||
        cost(index, lengths[index] + 1) < cost(best, lengths[best] + 1);
      if (isBetter) best = index;
    });
    if (best >= 0) lengths[best]++;
  }
  return lengths;
}

/** Time that one typical prompt takes on all layers, with the steps beside it. */
function workOf(
  figures: EngineProfile,
  { paceFactor, memoryMb }: PlanTarget,
): number {
  const kind = [...figures.kinds.values()].find((one) =>
    one.memoryMb === memoryMb
  );
  const chunks = Math.ceil(figures.typicalPromptTokens / figures.chunkTokens);
  return (kind?.prefillTimeFactor ?? 1) * figures.typicalPromptTokens /
      figures.prefillTokensPerMs +
    paceFactor * figures.stepMs * STEPS_PER_PASS * chunks;
}

function bySpeed(a: PlanTarget, b: PlanTarget): number {
  return a.paceFactor - b.paceFactor || b.memoryMb - a.memoryMb ||
    (a.id < b.id ? -1 : 1);
}

function slowestFirst(a: PlanTarget, b: PlanTarget): number {
  return bySpeed(b, a);
}

function memoryOf(targets: readonly PlanTarget[]): number {
  return targets.reduce((sum, { memoryMb }) => sum + memoryMb, 0);
}

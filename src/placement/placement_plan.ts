/**
 * Plans which layers each target holds. The first plan gives every failure
 * domain as many whole replicas of the model as fit beside memory for requests.
 * Later plans only add: an empty target receives the span that most lacks
 * memory for requests, and no serving target is moved while each layer has a
 * holder. Pure.
 *
 * @module
 */

import type { EngineProfile, Span } from "../ports/types.ts";
import {
  addCapacity,
  capacityByLayer,
  contextTokens,
  type LayerCapacity,
  maxLayers,
  minCapacityWithout,
} from "./layer_capacity.ts";
import type { PlacementOptions, PlannedOrder, PlanTarget } from "./types.ts";

/**
 * Memory for requests relative to memory for weights. A larger ratio builds a
 * replica from more and slower targets; a smaller one leaves requests waiting
 * for memory. See docs/design/10-platform.md.
 */
const REQUEST_MEMORY_RATIO = 0.6;

/** Tokens of context for which each replica has memory. */
function tokensPerReplica(figures: EngineProfile): number {
  const bytesPerLayer = figures.kvBytesPerToken / figures.layers;
  return REQUEST_MEMORY_RATIO * figures.layerMb * 1_000_000 / bytesPerLayer;
}

/** Returns the first placement, or what to add to the current one. */
export function planPlacement(
  { figures, targets }: PlacementOptions,
): PlannedOrder[] {
  // Sums of capacity differ in the last digit with the order of their terms,
  // which decides between spans of equal value.
  const sorted = [...targets].sort((a, b) => a.id < b.id ? -1 : 1);
  const options = { figures, targets: sorted };
  const isFirst = sorted.every(({ span }) => span === undefined);
  return isFirst ? planFirst(options) : planAdditions(options);
}

/**
 * Smallest memory of a replica relative to its weights; with less it has no
 * capacity for requests.
 */
const MIN_REPLICA_MEMORY_FACTOR = 1.1;

/** Memory of a layer's weights together with `tokens` tokens of context. */
function layerWithContextMb(figures: EngineProfile, tokens: number): number {
  return figures.layerMb +
    tokens * figures.kvBytesPerToken / figures.layers / 1_000_000;
}

function planFirst(options: PlacementOptions): PlannedOrder[] {
  const { figures } = options;
  const replicaTokens = tokensPerReplica(figures);
  const orders: PlannedOrder[] = [];
  const leftovers: PlanTarget[] = [];
  for (const targets of groupByDomain(options.targets).values()) {
    const { groups, rest } = groupForReplicas(
      targets,
      figures,
      replicaTokens,
    );
    orders.push(
      ...groups.flatMap((group) => planReplica(group, figures)),
    );
    leftovers.push(...rest);
  }
  // Domains that are too small for a replica of their own form one together.
  const { groups, rest } = groupForReplicas(
    leftovers,
    figures,
    replicaTokens,
  );
  const isAnyPlaced = orders.length > 0;
  if (!isAnyPlaced) {
    orders.push(
      ...groups.flatMap((group) => planReplica(group, figures)),
    );
  }
  return [
    ...orders,
    ...planSpares(options, orders, isAnyPlaced ? leftovers : rest),
  ];
}

/**
 * Assigns the fastest targets to the first replica, so that most requests end
 * soon and hold their memory briefly. Slower ones form further replicas or
 * become spares.
 */
function groupForReplicas(
  targets: readonly PlanTarget[],
  figures: EngineProfile,
  replicaTokens: number,
): { groups: PlanTarget[][]; rest: PlanTarget[] } {
  const replicaMb = figures.layers * layerWithContextMb(figures, replicaTokens);
  const minMb = figures.layers * figures.layerMb * MIN_REPLICA_MEMORY_FACTOR;
  const groups: PlanTarget[][] = [];
  let group: PlanTarget[] = [];
  for (const target of [...targets].sort(bySpeed)) {
    group.push(target);
    if (sumMemory(group) < replicaMb || !holdsAllLayers(group, figures)) {
      continue;
    }
    groups.push(group);
    group = [];
  }
  if (sumMemory(group) >= minMb && holdsAllLayers(group, figures)) {
    groups.push(group);
  } else return { groups, rest: group };
  return { groups, rest: [] };
}

/** Whether all layers fit, which whole layers may not although their sum does. */
function holdsAllLayers(
  group: readonly PlanTarget[],
  figures: EngineProfile,
): boolean {
  const layers = group.reduce(
    (sum, target) => sum + maxLayers(target, figures),
    0,
  );
  return layers >= figures.layers;
}

/**
 * Assigns each spare to the layers that lack most capacity, counting the spares
 * before it.
 */
function planSpares(
  options: PlacementOptions,
  placed: readonly PlannedOrder[],
  spares: readonly PlanTarget[],
): PlannedOrder[] {
  const spans = new Map(placed.map(({ targetId, span }) => [targetId, span]));
  const targets = options.targets.filter((target) => !spares.includes(target));
  const capacity = capacityByLayer(
    options,
    targets.map((target) => ({ ...target, span: spans.get(target.id) })),
  );
  return addSpares(options, capacity, spares);
}

/** Divides the model into spans in proportion to the targets' memory. */
function planReplica(
  replica: readonly PlanTarget[],
  figures: EngineProfile,
): PlannedOrder[] {
  const lengths = distributeLayers(replica, figures);
  const orders: PlannedOrder[] = [];
  let from = 0;
  replica.forEach(({ id }, index) => {
    const to = from + lengths[index];
    if (to > from) orders.push({ targetId: id, span: { from, to } });
    from = to;
  });
  return orders;
}

/**
 * Number of layers of each target; each layer is added where most memory per
 * layer is left.
 */
function distributeLayers(
  replica: readonly PlanTarget[],
  figures: EngineProfile,
): number[] {
  const lengths = replica.map(() => 0);
  for (let layer = 0; layer < figures.layers; layer++) {
    let best = -1;
    let bestMb = 0;
    replica.forEach((target, index) => {
      if (lengths[index] >= maxLayers(target, figures)) return;
      const perLayerMb = target.memoryMb / (lengths[index] + 1);
      if (perLayerMb > bestMb) {
        best = index;
        bestMb = perLayerMb;
      }
    });
    if (best < 0) break;
    lengths[best]++;
  }
  return lengths;
}

function planAdditions(options: PlacementOptions): PlannedOrder[] {
  const capacity = capacityByLayer(options, options.targets);
  const empty = options.targets.filter((
    { span, canAcceptOrder },
  ) => span === undefined && canAcceptOrder);
  const orders = addSpares(options, capacity, empty);
  return orders.length > 0 ? orders : planGapRepair(options, capacity);
}

function addSpares(
  { figures }: PlacementOptions,
  capacity: LayerCapacity,
  spares: readonly PlanTarget[],
): PlannedOrder[] {
  const orders: PlannedOrder[] = [];
  for (const target of [...spares].sort(bySpeed)) {
    const span = selectSpan(target, capacity, figures);
    if (span === undefined) continue;
    orders.push({ targetId: target.id, span });
    addCapacity(capacity, { ...target, span }, figures);
  }
  return orders;
}

/**
 * Assigns a holder to layers that have none while no empty target is left:
 * moves a target whose own layers have another holder, or else extends the span
 * of a target next to the gap.
 */
function planGapRepair(
  options: PlacementOptions,
  capacity: LayerCapacity,
): PlannedOrder[] {
  const { layers } = options.figures;
  const from = capacity.total.findIndex((tokens) => tokens <= 0);
  if (from < 0) return [];
  let to = from;
  while (to < layers && capacity.total[to] <= 0) to++;
  const gap = { from, to };
  const order = moveTargetToGap(gap, options, capacity) ??
    extendSpanOverGap(gap, options);
  return order === undefined ? [] : [order];
}

function moveTargetToGap(
  { from, to }: Span,
  { figures, targets }: PlacementOptions,
  capacity: LayerCapacity,
): PlannedOrder | undefined {
  let best: { target: PlanTarget; remainingTokens: number } | undefined;
  for (const target of targets) {
    if (!target.canAcceptOrder || target.span === undefined) continue;
    if (maxLayers(target, figures) < 1) continue;
    // Each layer of the moved target must keep another holder.
    const remainingTokens = minCapacityWithout(target, capacity, figures);
    if (remainingTokens <= 0) continue;
    if (best === undefined || remainingTokens > best.remainingTokens) {
      best = { target, remainingTokens };
    }
  }
  if (best === undefined) return undefined;
  const length = Math.min(to - from, maxLayers(best.target, figures));
  return { targetId: best.target.id, span: { from, to: from + length } };
}

/**
 * Extends the neighbor that covers most of the gap; if equal, the one with most
 * memory left.
 */
function extendSpanOverGap(
  gap: Span,
  { figures, targets }: PlacementOptions,
): PlannedOrder | undefined {
  let best: PlannedOrder & { addedLayers: number; tokens: number } | undefined;
  for (const target of targets) {
    const { id: targetId, span, canAcceptOrder } = target;
    if (!canAcceptOrder || span === undefined) continue;
    const isBefore = span.to === gap.from;
    if (!isBefore && span.from !== gap.to) continue;
    const addedLayers = Math.min(
      gap.to - gap.from,
      maxLayers(target, figures) - (span.to - span.from),
    );
    if (addedLayers <= 0) continue;
    const extended = isBefore
      ? { from: span.from, to: span.to + addedLayers }
      : { from: span.from - addedLayers, to: span.to };
    const tokens = contextTokens(target, extended, figures);
    const isBetter = best === undefined || addedLayers > best.addedLayers ||
      (addedLayers === best.addedLayers && tokens > best.tokens);
    if (isBetter) best = { targetId, span: extended, addedLayers, tokens };
  }
  return best && { targetId: best.targetId, span: best.span };
}

/**
 * The span whose layers lack most capacity, counting all domains and the
 * target's own domain again.
 */
function selectSpan(
  target: PlanTarget,
  capacity: LayerCapacity,
  figures: EngineProfile,
): Span | undefined {
  const limit = Math.min(figures.layers, maxLayers(target, figures));
  // An order for no layers would count as a placement without an effect.
  if (limit < 1) return undefined;
  const length = Math.min(
    limit,
    Math.max(
      1,
      Math.floor(
        target.memoryMb /
          layerWithContextMb(figures, tokensPerReplica(figures)),
      ),
    ),
  );
  const own = capacity.byDomain.get(target.domain) ?? [];
  let best: { from: number; value: number } | undefined;
  for (let from = 0; from + length <= figures.layers; from++) {
    let value = 0;
    for (let layer = from; layer < from + length; layer++) {
      value += marginalValue(capacity.total[layer], figures) +
        marginalValue(own[layer] ?? 0, figures);
      // A layer without a holder stops every request.
      if (capacity.total[layer] <= 0) value += UNCOVERED_LAYER_VALUE;
    }
    if (best === undefined || value > best.value) best = { from, value };
  }
  return best && { from: best.from, to: best.from + length };
}

/** Value of covering a layer without a holder, above that of any shortage of memory. */
const UNCOVERED_LAYER_VALUE = 1_000;
/** Capacity, in replicas, below which a larger shortage makes little difference. */
const VALUE_FLOOR_REPLICAS = 0.1;

/** Value of one more token of capacity where there is capacity for `tokens`. */
function marginalValue(tokens: number, figures: EngineProfile): number {
  const replicas = tokens / tokensPerReplica(figures);
  return 1 / (replicas + VALUE_FLOOR_REPLICAS);
}

function groupByDomain(
  targets: readonly PlanTarget[],
): Map<string, PlanTarget[]> {
  const groups = new Map<string, PlanTarget[]>();
  for (
    const target of [...targets].sort((a, b) => a.domain < b.domain ? -1 : 1)
  ) {
    groups.set(target.domain, [...groups.get(target.domain) ?? [], target]);
  }
  return groups;
}

/** Fastest first; if equal, by largest memory, then by id. */
function bySpeed(a: PlanTarget, b: PlanTarget): number {
  return a.paceFactor - b.paceFactor || b.memoryMb - a.memoryMb ||
    (a.id < b.id ? -1 : 1);
}

function sumMemory(targets: readonly PlanTarget[]): number {
  return targets.reduce((sum, { memoryMb }) => sum + memoryMb, 0);
}

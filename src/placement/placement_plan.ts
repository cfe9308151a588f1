/**
 * Plans which layers each target holds. A first plan gives every failure
 * domain as many whole copies as its memory allows beside room for requests;
 * later plans only add: an empty target takes the span that lacks memory for
 * requests most, and nothing that serves is moved while each layer has a holder.
 * Pure.
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
 * Memory for requests relative to that for weights. More of it makes a copy of
 * more and slower targets, less of it leaves requests waiting for room; see
 * docs/design/10-platform.md.
 */
const REQUEST_MEMORY_RATIO = 0.6;

/** Tokens of context for which each copy has room. */
function tokensPerReplica(figures: EngineProfile): number {
  const bytesPerLayer = figures.kvBytesPerToken / figures.layers;
  return REQUEST_MEMORY_RATIO * figures.layerMb * 1_000_000 / bytesPerLayer;
}

/** The first placement, or what to add to the present one. */
export function planPlacement(options: PlacementOptions): PlannedOrder[] {
  const isFirst = options.targets.every(({ span }) => span === undefined);
  return isFirst ? planFirst(options) : planAdditions(options);
}

/** A copy with less memory than its weights times this has no room for requests. */
const MIN_REPLICA_MEMORY_FACTOR = 1.1;

/** Memory that a layer takes together with the context of `tokens` tokens. */
function layerWithContextMb(figures: EngineProfile, tokens: number): number {
  return figures.layerMb +
    tokens * figures.kvBytesPerToken / figures.layers / 1_000_000;
}

function planFirst(options: PlacementOptions): PlannedOrder[] {
  const { figures } = options;
  const tokensPerCopy = tokensPerReplica(figures);
  const orders: PlannedOrder[] = [];
  const leftovers: PlanTarget[] = [];
  for (const targets of groupByDomain(options.targets).values()) {
    const { rows, rest } = groupForReplicas(targets, figures, tokensPerCopy);
    orders.push(...rows.flatMap((row) => planReplica(row, figures)));
    leftovers.push(...rest);
  }
  // Domains too small for a copy of their own form copies together.
  const { rows, rest } = groupForReplicas(leftovers, figures, tokensPerCopy);
  const isAnyPlaced = orders.length > 0;
  if (!isAnyPlaced) {
    orders.push(...rows.flatMap((row) => planReplica(row, figures)));
  }
  return [
    ...orders,
    ...planSpares(options, orders, isAnyPlaced ? leftovers : rest),
  ];
}

/**
 * Takes the fastest targets for the first copy, so that most requests end soon
 * and hold their memory briefly; slower ones make further copies or spares.
 */
function groupForReplicas(
  targets: readonly PlanTarget[],
  figures: EngineProfile,
  tokensPerCopy: number,
): { rows: PlanTarget[][]; rest: PlanTarget[] } {
  const rowMb = figures.layers * layerWithContextMb(figures, tokensPerCopy);
  const leastMb = figures.layers * figures.layerMb * MIN_REPLICA_MEMORY_FACTOR;
  const rows: PlanTarget[][] = [];
  let row: PlanTarget[] = [];
  for (const target of [...targets].sort(bySpeed)) {
    row.push(target);
    if (sumMemory(row) < rowMb) continue;
    rows.push(row);
    row = [];
  }
  const most = row.reduce(
    (sum, target) => sum + maxLayers(target, figures),
    0,
  );
  if (sumMemory(row) >= leastMb && most >= figures.layers) rows.push(row);
  else return { rows, rest: row };
  return { rows, rest: [] };
}

/** Each spare takes the layers that lack most, counting those before it. */
function planSpares(
  options: PlacementOptions,
  placed: readonly PlannedOrder[],
  spares: readonly PlanTarget[],
): PlannedOrder[] {
  const spans = new Map(placed.map(({ targetId, span }) => [targetId, span]));
  const targets = options.targets.filter((target) => !spares.includes(target));
  const room = capacityByLayer(
    options,
    targets.map((target) => ({ ...target, span: spans.get(target.id) })),
  );
  return addSpares(options, room, spares);
}

/** Cuts the model into spans in proportion to the targets' memory. */
function planReplica(
  row: readonly PlanTarget[],
  figures: EngineProfile,
): PlannedOrder[] {
  const lengths = distributeLayers(row, figures);
  const orders: PlannedOrder[] = [];
  let from = 0;
  row.forEach(({ id }, index) => {
    const to = from + lengths[index];
    if (to > from) orders.push({ targetId: id, span: { from, to } });
    from = to;
  });
  return orders;
}

/** Layers of each target of a row; each layer more goes where most memory is left. */
function distributeLayers(
  row: readonly PlanTarget[],
  figures: EngineProfile,
): number[] {
  const lengths = row.map(() => 0);
  for (let layer = 0; layer < figures.layers; layer++) {
    let best = -1;
    let bestMb = 0;
    row.forEach((target, index) => {
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
  const room = capacityByLayer(options, options.targets);
  const empty = options.targets.filter((
    { span, canAcceptOrder: canTakeOrder },
  ) => span === undefined && canTakeOrder);
  const orders = addSpares(options, room, empty);
  return orders.length > 0 ? orders : planGapRepair(options, room);
}

function addSpares(
  { figures }: PlacementOptions,
  room: LayerCapacity,
  spares: readonly PlanTarget[],
): PlannedOrder[] {
  const orders: PlannedOrder[] = [];
  for (const target of [...spares].sort(bySpeed)) {
    const span = selectSpan(target, room, figures);
    if (span === undefined) continue;
    orders.push({ targetId: target.id, span });
    addCapacity(room, { ...target, span }, figures);
  }
  return orders;
}

/**
 * Gives a holder to layers that have none while no empty target is left: moves
 * a target whose own layers have another holder, or else lets one next to the
 * gap take part of it beside its own.
 */
function planGapRepair(
  options: PlacementOptions,
  room: LayerCapacity,
): PlannedOrder[] {
  const { layers } = options.figures;
  const from = room.total.findIndex((tokens) => tokens <= 0);
  if (from < 0) return [];
  let to = from;
  while (to < layers && room.total[to] <= 0) to++;
  const gap = { from, to };
  const order = moveTargetToGap(gap, options, room) ??
    extendSpanOverGap(gap, options);
  return order === undefined ? [] : [order];
}

function moveTargetToGap(
  { from, to }: Span,
  { figures, targets }: PlacementOptions,
  room: LayerCapacity,
): PlannedOrder | undefined {
  let best: { target: PlanTarget; spareTokens: number } | undefined;
  for (const target of targets) {
    if (!target.canAcceptOrder || target.span === undefined) continue;
    // Taking it away must leave every one of its layers with another holder.
    const spareTokens = minCapacityWithout(target, room, figures);
    if (spareTokens <= 0) continue;
    if (best === undefined || spareTokens > best.spareTokens) {
      best = { target, spareTokens };
    }
  }
  if (best === undefined) return undefined;
  const length = Math.min(to - from, maxLayers(best.target, figures));
  return { targetId: best.target.id, span: { from, to: from + length } };
}

/** The neighbour that takes most of the gap does; the one with most room, among equals. */
function extendSpanOverGap(
  gap: Span,
  { figures, targets }: PlacementOptions,
): PlannedOrder | undefined {
  let best: PlannedOrder & { taken: number; tokens: number } | undefined;
  for (const target of targets) {
    const { id: targetId, span, canAcceptOrder: canTakeOrder } = target;
    if (!canTakeOrder || span === undefined) continue;
    const isBefore = span.to === gap.from;
    if (!isBefore && span.from !== gap.to) continue;
    const taken = Math.min(
      gap.to - gap.from,
      maxLayers(target, figures) - (span.to - span.from),
    );
    if (taken <= 0) continue;
    const grown = isBefore
      ? { from: span.from, to: span.to + taken }
      : { from: span.from - taken, to: span.to };
    const tokens = contextTokens(target, grown, figures);
    const isBetter = best === undefined || taken > best.taken ||
      (taken === best.taken && tokens > best.tokens);
    if (isBetter) best = { targetId, span: grown, taken, tokens };
  }
  return best && { targetId: best.targetId, span: best.span };
}

/** The window whose layers lack most, counted over all domains and over the target's own. */
function selectSpan(
  target: PlanTarget,
  room: LayerCapacity,
  figures: EngineProfile,
): Span | undefined {
  const length = Math.min(
    figures.layers,
    maxLayers(target, figures),
    Math.max(
      1,
      Math.floor(
        target.memoryMb /
          layerWithContextMb(figures, tokensPerReplica(figures)),
      ),
    ),
  );
  const own = room.byDomain.get(target.domain) ?? [];
  let best: { from: number; need: number } | undefined;
  for (let from = 0; from + length <= figures.layers; from++) {
    let need = 0;
    for (let layer = from; layer < from + length; layer++) {
      need += marginalValue(room.total[layer], figures) +
        marginalValue(own[layer] ?? 0, figures);
      // A layer without any holder stops every request.
      if (room.total[layer] <= 0) need += UNCOVERED_LAYER_VALUE;
    }
    if (best === undefined || need > best.need) best = { from, need };
  }
  return best && { from: best.from, to: best.from + length };
}

/** Weight of a layer that nobody holds against any shortage of memory. */
const UNCOVERED_LAYER_VALUE = 1_000;
/** Tokens, in copies, below which less makes no more difference. */
const VALUE_FLOOR_REPLICAS = 0.1;

/** What a token more is worth where there is room for `tokens`. */
function marginalValue(tokens: number, figures: EngineProfile): number {
  const copies = tokens / tokensPerReplica(figures);
  return 1 / (copies + VALUE_FLOOR_REPLICAS);
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

/** The fastest first; the largest, then the name, among equals. */
function bySpeed(a: PlanTarget, b: PlanTarget): number {
  return a.paceFactor - b.paceFactor || b.memoryMb - a.memoryMb ||
    (a.id < b.id ? -1 : 1);
}

function sumMemory(targets: readonly PlanTarget[]): number {
  return targets.reduce((sum, { memoryMb }) => sum + memoryMb, 0);
}

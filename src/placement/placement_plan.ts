/**
 * Plans which layers each target holds. A first plan gives every failure
 * domain as many whole copies as its memory allows beside room for requests;
 * later plans only add: an empty target takes the span that lacks memory for
 * requests most, and nothing that serves is moved while each layer has a holder.
 * Pure.
 *
 * @module
 */

import type { EngineFigures, Span } from "../ports/types.ts";

/** A target as the plan sees it. */
export interface PlanTarget {
  readonly id: string;
  readonly domain: string;
  readonly memoryMb: number;
  /** Factor on the time of a step. */
  readonly paceFactor: number;
  /** Undefined: holds nothing. */
  readonly span: Span | undefined;
  /** May be ordered now: it answers, and no order is in progress. */
  readonly canTakeOrder: boolean;
}

/** A span that a target should take. */
export interface PlannedOrder {
  readonly targetId: string;
  readonly span: Span;
}

/** Options of a plan. */
export interface PlacementOptions {
  readonly figures: EngineFigures;
  readonly targets: readonly PlanTarget[];
}

/**
 * Memory for requests relative to that for weights. More of it makes a copy of
 * more and slower targets, less of it leaves requests waiting for room; see
 * docs/design/10-platform.md.
 */
const REQUEST_SHARE = 0.6;

/** Tokens of context for which each copy has room. */
function tokensPerCopyOf(figures: EngineFigures): number {
  const bytesPerLayer = figures.kvBytesPerToken / figures.layers;
  return REQUEST_SHARE * figures.layerMb * 1_000_000 / bytesPerLayer;
}

/** The first placement, or what to add to the present one. */
export function planPlacement(options: PlacementOptions): PlannedOrder[] {
  const isFirst = options.targets.every(({ span }) => span === undefined);
  return isFirst ? planFirst(options) : planAdditions(options);
}

/** A copy with less memory than its weights times this has no room for requests. */
const LEAST_ROW_FACTOR = 1.1;

/** Memory that a layer takes together with the context of `tokens` tokens. */
function layerWithContextMb(figures: EngineFigures, tokens: number): number {
  return figures.layerMb +
    tokens * figures.kvBytesPerToken / figures.layers / 1_000_000;
}

function planFirst(options: PlacementOptions): PlannedOrder[] {
  const { figures } = options;
  const tokensPerCopy = tokensPerCopyOf(figures);
  const orders: PlannedOrder[] = [];
  const leftovers: PlanTarget[] = [];
  for (const targets of groupByDomain(options.targets).values()) {
    const { rows, rest } = cutRows(targets, figures, tokensPerCopy);
    orders.push(...rows.flatMap((row) => planRow(row, figures)));
    leftovers.push(...rest);
  }
  // Domains too small for a copy of their own form copies together.
  const { rows, rest } = cutRows(leftovers, figures, tokensPerCopy);
  const isAnyPlaced = orders.length > 0;
  if (!isAnyPlaced) {
    orders.push(...rows.flatMap((row) => planRow(row, figures)));
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
function cutRows(
  targets: readonly PlanTarget[],
  figures: EngineFigures,
  tokensPerCopy: number,
): { rows: PlanTarget[][]; rest: PlanTarget[] } {
  const rowMb = figures.layers * layerWithContextMb(figures, tokensPerCopy);
  const leastMb = figures.layers * figures.layerMb * LEAST_ROW_FACTOR;
  const rows: PlanTarget[][] = [];
  let row: PlanTarget[] = [];
  for (const target of [...targets].sort(byPace)) {
    row.push(target);
    if (sumMemory(row) < rowMb) continue;
    rows.push(row);
    row = [];
  }
  const most = row.reduce(
    (sum, target) => sum + mostLayers(target, figures),
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
  const room = roomByLayer(
    options,
    targets.map((target) => ({ ...target, span: spans.get(target.id) })),
  );
  return addSpares(options, room, spares);
}

/** Cuts the model into spans in proportion to the targets' memory. */
function planRow(
  row: readonly PlanTarget[],
  figures: EngineFigures,
): PlannedOrder[] {
  const lengths = shareLayers(row, figures);
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
function shareLayers(
  row: readonly PlanTarget[],
  figures: EngineFigures,
): number[] {
  const lengths = row.map(() => 0);
  for (let layer = 0; layer < figures.layers; layer++) {
    let best = -1;
    let bestMb = 0;
    row.forEach((target, index) => {
      if (lengths[index] >= mostLayers(target, figures)) return;
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
  const room = roomByLayer(options, options.targets);
  const empty = options.targets.filter(({ span, canTakeOrder }) =>
    span === undefined && canTakeOrder
  );
  const orders = addSpares(options, room, empty);
  return orders.length > 0 ? orders : planRescue(options, room);
}

function addSpares(
  { figures }: PlacementOptions,
  room: LayerRoom,
  spares: readonly PlanTarget[],
): PlannedOrder[] {
  const orders: PlannedOrder[] = [];
  for (const target of [...spares].sort(byPace)) {
    const span = neediestSpan(target, room, figures);
    if (span === undefined) continue;
    orders.push({ targetId: target.id, span });
    addRoom(room, { ...target, span }, figures);
  }
  return orders;
}

/** Moves one target where a layer has no holder and no empty target is left. */
function planRescue(
  options: PlacementOptions,
  room: LayerRoom,
): PlannedOrder[] {
  const { figures, targets } = options;
  const from = room.total.findIndex((tokens) => tokens <= 0);
  if (from < 0) return [];
  let to = from;
  while (to < figures.layers && room.total[to] <= 0) to++;
  let best: { target: PlanTarget; spareTokens: number } | undefined;
  for (const target of targets) {
    if (!target.canTakeOrder || target.span === undefined) continue;
    // Taking it away must leave every one of its layers with another holder.
    const spareTokens = spareWithout(target, room, figures);
    if (spareTokens <= 0) continue;
    if (best === undefined || spareTokens > best.spareTokens) {
      best = { target, spareTokens };
    }
  }
  if (best === undefined) return [];
  const length = Math.min(to - from, mostLayers(best.target, figures));
  return [{ targetId: best.target.id, span: { from, to: from + length } }];
}

/** Tokens of context for which the holders of each layer have room. */
interface LayerRoom {
  readonly total: number[];
  readonly byDomain: Map<string, number[]>;
}

function roomByLayer(
  { figures }: PlacementOptions,
  targets: readonly PlanTarget[],
): LayerRoom {
  const room: LayerRoom = {
    total: new Array(figures.layers).fill(0),
    byDomain: new Map(),
  };
  for (const target of targets) addRoom(room, target, figures);
  return room;
}

function addRoom(
  room: LayerRoom,
  target: PlanTarget,
  figures: EngineFigures,
): void {
  const { span, domain } = target;
  let own = room.byDomain.get(domain);
  if (own === undefined) {
    own = new Array(figures.layers).fill(0);
    room.byDomain.set(domain, own);
  }
  if (span === undefined) return;
  const tokens = tokensOf(target, span, figures);
  for (
    let layer = span.from;
    layer < Math.min(span.to, figures.layers);
    layer++
  ) {
    room.total[layer] += tokens;
    own[layer] += tokens;
  }
}

function tokensOf(
  target: PlanTarget,
  span: Span,
  figures: EngineFigures,
): number {
  const length = span.to - span.from;
  const freeMb = target.memoryMb - length * figures.layerMb;
  return Math.max(
    1,
    freeMb * 1_000_000 / (figures.kvBytesPerToken / figures.layers * length),
  );
}

function spareWithout(
  target: PlanTarget,
  room: LayerRoom,
  figures: EngineFigures,
): number {
  const { span } = target;
  if (span === undefined) return 0;
  const own = tokensOf(target, span, figures);
  let least = Infinity;
  for (
    let layer = span.from;
    layer < Math.min(span.to, figures.layers);
    layer++
  ) {
    least = Math.min(least, room.total[layer] - own);
  }
  return least;
}

/** The window whose layers lack most, counted over all domains and over the target's own. */
function neediestSpan(
  target: PlanTarget,
  room: LayerRoom,
  figures: EngineFigures,
): Span | undefined {
  const length = Math.min(
    figures.layers,
    mostLayers(target, figures),
    Math.max(
      1,
      Math.floor(
        target.memoryMb / layerWithContextMb(figures, tokensPerCopyOf(figures)),
      ),
    ),
  );
  const own = room.byDomain.get(target.domain) ?? [];
  let best: { from: number; need: number } | undefined;
  for (let from = 0; from + length <= figures.layers; from++) {
    let need = 0;
    for (let layer = from; layer < from + length; layer++) {
      need += needOf(room.total[layer], figures) +
        needOf(own[layer] ?? 0, figures);
      // A layer without any holder stops every request.
      if (room.total[layer] <= 0) need += UNHELD_NEED;
    }
    if (best === undefined || need > best.need) best = { from, need };
  }
  return best && { from: best.from, to: best.from + length };
}

/** Weight of a layer that nobody holds against any shortage of memory. */
const UNHELD_NEED = 1_000;
/** Tokens, in copies, below which less makes no more difference. */
const NEED_FLOOR_COPIES = 0.1;

/** What a token more is worth where there is room for `tokens`. */
function needOf(tokens: number, figures: EngineFigures): number {
  const copies = tokens / tokensPerCopyOf(figures);
  return 1 / (copies + NEED_FLOOR_COPIES);
}

/** Layers that fit, with some memory left for requests. */
function mostLayers(target: PlanTarget, figures: EngineFigures): number {
  return Math.max(0, Math.floor((target.memoryMb * 0.97) / figures.layerMb));
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
function byPace(a: PlanTarget, b: PlanTarget): number {
  return a.paceFactor - b.paceFactor || b.memoryMb - a.memoryMb ||
    (a.id < b.id ? -1 : 1);
}

function sumMemory(targets: readonly PlanTarget[]): number {
  return targets.reduce((sum, { memoryMb }) => sum + memoryMb, 0);
}

/**
 * Memory that is left for requests on each layer, over all its holders. Pure.
 *
 * @module
 */

import type { EngineProfile, Span } from "../ports/types.ts";
import type { PlacementOptions, PlanTarget } from "./types.ts";

/** Largest part of a target's memory for weights; one with no room for requests serves none. */
const MAX_WEIGHTS_SHARE = 0.97;

/** Tokens of context for which the holders of each layer have room. */
export interface LayerCapacity {
  readonly total: number[];
  readonly byDomain: Map<string, number[]>;
}

/** Room that the targets' spans leave. */
export function capacityByLayer(
  { figures }: PlacementOptions,
  targets: readonly PlanTarget[],
): LayerCapacity {
  const room: LayerCapacity = {
    total: new Array(figures.layers).fill(0),
    byDomain: new Map(),
  };
  for (const target of targets) addCapacity(room, target, figures);
  return room;
}

/** Counts one more target. */
export function addCapacity(
  room: LayerCapacity,
  target: PlanTarget,
  figures: EngineProfile,
): void {
  const { span, domain } = target;
  let own = room.byDomain.get(domain);
  if (own === undefined) {
    own = new Array(figures.layers).fill(0);
    room.byDomain.set(domain, own);
  }
  if (span === undefined) return;
  const tokens = contextTokens(target, span, figures);
  for (
    let layer = span.from;
    layer < Math.min(span.to, figures.layers);
    layer++
  ) {
    room.total[layer] += tokens;
    own[layer] += tokens;
  }
}

/** Tokens of context for which a target has room beside the weights of a span. */
export function contextTokens(
  target: PlanTarget,
  span: Span,
  figures: EngineProfile,
): number {
  const length = span.to - span.from;
  const freeMb = target.memoryMb - length * figures.layerMb;
  return Math.max(
    1,
    freeMb * 1_000_000 / (figures.kvBytesPerToken / figures.layers * length),
  );
}

/** Least room on the target's own layers if it held none of them. */
export function minCapacityWithout(
  target: PlanTarget,
  room: LayerCapacity,
  figures: EngineProfile,
): number {
  const { span } = target;
  if (span === undefined) return 0;
  const own = contextTokens(target, span, figures);
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

/** Layers that fit, with some memory left for requests. */
export function maxLayers(target: PlanTarget, figures: EngineProfile): number {
  return Math.max(
    0,
    Math.floor((target.memoryMb * MAX_WEIGHTS_SHARE) / figures.layerMb),
  );
}

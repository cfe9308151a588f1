/**
 * Computes the memory left for requests on each layer, summed over its holders.
 * Pure.
 *
 * @module
 */

import type { EngineProfile, Span } from "../ports/types.ts";
import type { PlacementOptions, PlanTarget } from "./types.ts";

/**
 * Largest share of a target's memory for weights; without memory for requests
 * it serves none.
 */
const MAX_WEIGHTS_SHARE = 0.97;

/** Tokens of context for which the holders of each layer have memory. */
export interface LayerCapacity {
  readonly total: number[];
  readonly byDomain: Map<string, number[]>;
}

export function capacityByLayer(
  { figures }: PlacementOptions,
  targets: readonly PlanTarget[],
): LayerCapacity {
  const capacity: LayerCapacity = {
    total: new Array(figures.layers).fill(0),
    byDomain: new Map(),
  };
  for (const target of targets) addCapacity(capacity, target, figures);
  return capacity;
}

/** Adds the capacity of one target. */
export function addCapacity(
  capacity: LayerCapacity,
  target: PlanTarget,
  figures: EngineProfile,
): void {
  const { span, domain } = target;
  let own = capacity.byDomain.get(domain);
  if (own === undefined) {
    own = new Array(figures.layers).fill(0);
    capacity.byDomain.set(domain, own);
  }
  if (span === undefined) return;
  const tokens = contextTokens(target, span, figures);
  for (
    let layer = span.from;
    layer < Math.min(span.to, figures.layers);
    layer++
  ) {
    capacity.total[layer] += tokens;
    own[layer] += tokens;
  }
}

/** Tokens of context that fit into a target's memory beside the weights of a span. */
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

/** Smallest capacity of the target's own layers if it did not hold them. */
export function minCapacityWithout(
  target: PlanTarget,
  capacity: LayerCapacity,
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
    least = Math.min(least, capacity.total[layer] - own);
  }
  return least;
}

/** Number of layers that fit while some memory is left for requests. */
export function maxLayers(target: PlanTarget, figures: EngineProfile): number {
  return Math.max(
    0,
    Math.floor((target.memoryMb * MAX_WEIGHTS_SHARE) / figures.layerMb),
  );
}

/**
 * Finds the path with the least expected time for each token: consecutive
 * spans of targets that together run every layer once, in order. The state of
 * the search is the target that ran the last layer, so that a path may change
 * targets at any layer that both hold. Pure; loads come in as costs.
 *
 * @module
 */

import type { PathStage, Span } from "../ports/types.ts";

/** Time that a step to another target of the same failure domain adds to each token. */
const SAME_DOMAIN_HOP_MS = 0.4;
/** The same into another failure domain where nothing is known of the way. */
const DEFAULT_CROSS_DOMAIN_HOP_MS = 2.5;
/** What a first target in another failure domain adds: events carry several tokens. */
const CROSS_DOMAIN_FIRST_STAGE_MS = 0.5;
/** Search again without a target that the best path would visit twice. */
const MAX_SEARCHES = 4;
/** Most stages that a path may have on the wire. */
const MAX_STAGES = 32;

/** A target that may be part of the path. */
export interface PathCandidate {
  readonly id: string;
  readonly address: string;
  readonly domain: string;
  readonly span: Span;
  /** Expected time for one token and one layer. */
  readonly msPerLayer: number;
  /** May be the first of a path. */
  readonly canBeFirst: boolean;
}

/** Options of a search. */
export interface PathSearch {
  readonly layers: number;
  readonly candidates: readonly PathCandidate[];
  /** Failure domain of the host that sends. */
  readonly domain: string;
  /** Stage that the path must begin with, where a request in progress moves. */
  readonly firstStage?: PathStage;
  /** Time that a step into another failure domain adds to each token. */
  readonly crossDomainHopMs?: (from: string, to: string) => number;
  /** Extra cost of a layer on a target, for instance for what it would have to read again. */
  readonly extraLayerMs?: (targetId: string, layer: number) => number;
}

/** A path and its expected time for each token. */
export interface FoundPath {
  readonly stages: readonly PathStage[];
  readonly msPerToken: number;
}

/** Undefined where no path runs all layers. */
export function findPath(search: PathSearch): FoundPath | undefined {
  let candidates = search.candidates;
  for (let i = 0; i < MAX_SEARCHES; i++) {
    const found = searchOnce({ ...search, candidates });
    if (found === undefined) return undefined;
    const repeated = repeatedTarget(found.stages);
    if (repeated === undefined) {
      return found.stages.length <= MAX_STAGES ? found : undefined;
    }
    // What lies between its two visits is cheaper by little; go on without it.
    const between = stagesBetweenVisits(found.stages, repeated);
    candidates = candidates.filter((candidate) => !between.has(candidate.id));
  }
  return undefined;
}

function searchOnce(search: PathSearch): FoundPath | undefined {
  const { layers, candidates, firstStage } = search;
  const count = candidates.length;
  let costs: number[] = new Array(count).fill(Infinity);
  const previous: Int16Array[] = [];
  const startLayer = firstStage?.to ?? 0;
  if (firstStage !== undefined) {
    const first = candidates.findIndex(({ id }) => id === firstStage.targetId);
    if (first < 0) return undefined;
    costs[first] = 0;
  }
  for (let layer = startLayer; layer < layers; layer++) {
    const isStart = layer === 0;
    const cheapest = isStart ? undefined : cheapestByDomain(candidates, costs);
    const next: number[] = new Array(count).fill(Infinity);
    const from = new Int16Array(count).fill(-1);
    for (let k = 0; k < count; k++) {
      const candidate = candidates[k];
      if (layer < candidate.span.from || layer >= candidate.span.to) continue;
      const ownMs = candidate.msPerLayer +
        (search.extraLayerMs?.(candidate.id, layer) ?? 0);
      if (cheapest === undefined) {
        if (candidate.canBeFirst) {
          const isFar = candidate.domain !== search.domain;
          next[k] = ownMs + (isFar ? CROSS_DOMAIN_FIRST_STAGE_MS : 0);
        }
        continue;
      }
      const isMoving = firstStage === undefined ||
        candidate.id !== firstStage.targetId;
      let bestMs = costs[k];
      from[k] = k;
      if (isMoving) {
        for (const [domain, cheap] of cheapest) {
          const costMs = cheap.costMs + hopMs(search, domain, candidate.domain);
          if (costMs < bestMs) {
            bestMs = costMs;
            from[k] = cheap.index;
          }
        }
      } else if (layer >= startLayer) {
        // The first stage keeps its span.
        bestMs = Infinity;
      }
      next[k] = bestMs + ownMs;
    }
    previous.push(from);
    costs = next;
  }
  return tracePath(search, costs, previous);
}

function tracePath(
  search: PathSearch,
  costs: readonly number[],
  previous: readonly Int16Array[],
): FoundPath | undefined {
  const { candidates, layers, firstStage } = search;
  let k = indexOfLeast(costs);
  if (k < 0) return undefined;
  const msPerToken = costs[k];
  const startLayer = firstStage?.to ?? 0;
  const stages: PathStage[] = [];
  let to = layers;
  for (let layer = layers - 1; layer >= startLayer; layer--) {
    const from = previous[layer - startLayer][k];
    if (from === k && layer > startLayer) continue;
    const { id, address } = candidates[k];
    stages.push({ targetId: id, address, from: layer, to });
    to = layer;
    k = from;
  }
  if (firstStage !== undefined) stages.push(firstStage);
  return { stages: stages.reverse(), msPerToken };
}

interface Cheapest {
  readonly index: number;
  readonly costMs: number;
}

function cheapestByDomain(
  candidates: readonly PathCandidate[],
  costs: readonly number[],
): Map<string, Cheapest> {
  const cheapest = new Map<string, Cheapest>();
  for (let index = 0; index < costs.length; index++) {
    const costMs = costs[index];
    if (costMs === Infinity) continue;
    const { domain } = candidates[index];
    const best = cheapest.get(domain);
    if (best === undefined || costMs < best.costMs) {
      cheapest.set(domain, { index, costMs });
    }
  }
  return cheapest;
}

function hopMs(
  { crossDomainHopMs: farHopMs }: PathSearch,
  from: string,
  to: string,
): number {
  if (from === to) return SAME_DOMAIN_HOP_MS;
  return farHopMs?.(from, to) ?? DEFAULT_CROSS_DOMAIN_HOP_MS;
}

function indexOfLeast(costs: readonly number[]): number {
  let least = -1;
  for (let i = 0; i < costs.length; i++) {
    if (costs[i] < (least < 0 ? Infinity : costs[least])) least = i;
  }
  return least;
}

function repeatedTarget(stages: readonly PathStage[]): string | undefined {
  const seen = new Set<string>();
  for (const { targetId } of stages) {
    if (seen.has(targetId)) return targetId;
    seen.add(targetId);
  }
  return undefined;
}

function stagesBetweenVisits(
  stages: readonly PathStage[],
  id: string,
): Set<string> {
  const first = stages.findIndex(({ targetId }) => targetId === id);
  const last = stages.findLastIndex(({ targetId }) => targetId === id);
  return new Set(stages.slice(first + 1, last).map(({ targetId }) => targetId));
}

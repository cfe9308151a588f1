/**
 * Finds the path with the lowest expected time per token: consecutive spans of
 * targets that together run every layer once, in order. A dynamic program over
 * layers keeps the best cost for each target that ran the last layer, so that a
 * path can switch targets at any layer that both hold. Pure.
 *
 * @module
 */

import type { PathStage, Span } from "../ports/types.ts";

/** Time per token for a hop to another target of the same failure domain. */
const SAME_DOMAIN_HOP_MS = 0.4;
/** Time per token for a hop to another failure domain if the link's load is unknown. */
const DEFAULT_CROSS_DOMAIN_HOP_MS = 2.5;
/**
 * Time per token if the first target is in another failure domain; low, since
 * events carry several tokens.
 */
const CROSS_DOMAIN_FIRST_STAGE_MS = 0.5;
/**
 * Largest number of searches; each after the first excludes stages of a path
 * that visits a target twice.
 */
const MAX_SEARCHES = 4;
/** Largest number of stages that the wire format allows. */
const MAX_STAGES = 32;

/** A target that may be part of the path. */
export interface PathCandidate {
  readonly id: string;
  readonly address: string;
  readonly domain: string;
  readonly span: Span;
  /** Expected time per token and layer. */
  readonly msPerLayer: number;
  /** One-time cost of a path that enters the target, on the same scale. */
  readonly entryMs?: number;
  readonly canBeFirst: boolean;
}

/** Input of a search. */
export interface PathSearch {
  readonly layers: number;
  readonly candidates: readonly PathCandidate[];
  /** Failure domain of the sending host. */
  readonly domain: string;
  /** First stage to keep, for a request in progress that is repathed. */
  readonly firstStage?: PathStage;
  /** Time per token for a hop to another failure domain. */
  readonly crossDomainHopMs?: (from: string, to: string) => number;
  /**
   * Additional cost of a layer on a target, for example to recompute its
   * context there.
   */
  readonly extraLayerMs?: (targetId: string, layer: number) => number;
}

/** A path and its expected time per token. */
export interface FoundPath {
  readonly stages: readonly PathStage[];
  readonly msPerToken: number;
}

/** Returns undefined if no path covers all layers. */
export function findPath(search: PathSearch): FoundPath | undefined {
  let candidates = search.candidates;
  for (let i = 0; i < MAX_SEARCHES; i++) {
    const found = searchOnce({ ...search, candidates });
    if (found === undefined) return undefined;
    const repeated = repeatedTarget(found.stages);
    if (repeated === undefined) {
      return found.stages.length <= MAX_STAGES ? found : undefined;
    }
    // The stages between the two visits save little, so search without them.
    const between = stagesBetweenVisits(found.stages, repeated);
    candidates = candidates.filter((candidate) => !between.has(candidate.id));
  }
  return undefined;
}

/** The holders of one layer with the best cost of a path that ends there. */
interface LayerCosts {
  /** Indices of the candidates that hold the layer. */
  readonly holders: readonly number[];
  readonly costsMs: readonly number[];
  /** For each holder, the candidate that runs the layer before. */
  readonly previous: readonly number[];
}

function searchOnce(search: PathSearch): FoundPath | undefined {
  const { candidates, layers, firstStage } = search;
  const startLayer = firstStage?.to ?? 0;
  const first = candidates.findIndex(({ id }) => id === firstStage?.targetId);
  if (firstStage !== undefined && first < 0) return undefined;
  const domains = new DomainHops(search);
  const holdersByLayer = groupByLayer(search);
  const found: LayerCosts[] = [];
  let last: LayerCosts | undefined = firstStage &&
    { holders: [first], costsMs: [0], previous: [-1] };
  for (let layer = startLayer; layer < layers; layer++) {
    const holders = holdersByLayer[layer];
    last = last === undefined
      ? startPaths(search, holders)
      : extendPaths(search, { layer, holders, last, domains });
    if (last.holders.length === 0) return undefined;
    found.push(last);
  }
  return tracePath(search, found);
}

/** Candidates that hold each layer. */
function groupByLayer({ layers, candidates }: PathSearch): number[][] {
  const groups: number[][] = Array.from({ length: layers }, () => []);
  candidates.forEach(({ span }, index) => {
    const to = Math.min(span.to, layers);
    for (let layer = span.from; layer < to; layer++) groups[layer].push(index);
  });
  return groups;
}

function startPaths(
  search: PathSearch,
  holders: readonly number[],
): LayerCosts {
  const eligible = holders.filter((index) =>
    search.candidates[index].canBeFirst
  );
  const costsMs = eligible.map((index) => {
    const { domain, msPerLayer, entryMs = 0, id } = search.candidates[index];
    const hopMs = domain === search.domain ? 0 : CROSS_DOMAIN_FIRST_STAGE_MS;
    return msPerLayer + entryMs + hopMs + (search.extraLayerMs?.(id, 0) ?? 0);
  });
  return { holders: eligible, costsMs, previous: eligible.map(() => -1) };
}

function extendPaths(
  search: PathSearch,
  { layer, holders, last, domains }: {
    readonly layer: number;
    readonly holders: readonly number[];
    readonly last: LayerCosts;
    readonly domains: DomainHops;
  },
): LayerCosts {
  const { candidates, firstStage, extraLayerMs } = search;
  const cheapest = domains.cheapest(last);
  const reached: number[] = [];
  const costsMs: number[] = [];
  const previous: number[] = [];
  let position = 0;
  for (const index of holders) {
    const { id, msPerLayer, entryMs = 0 } = candidates[index];
    // Its span was fixed when the request was sent.
    if (id === firstStage?.targetId) continue;
    // Both lists are in ascending order.
    while (position < last.holders.length && last.holders[position] < index) {
      position++;
    }
    const isSame = last.holders[position] === index;
    let bestMs = isSame ? last.costsMs[position] : Infinity;
    let from = index;
    const stayMs = bestMs - entryMs;
    let enterMs = stayMs;
    for (const { domain, holder, costMs } of cheapest) {
      const hopMs = costMs + domains.hopMs(domain, index);
      if (hopMs >= enterMs) continue;
      enterMs = hopMs;
      from = holder;
    }
    if (enterMs < stayMs) bestMs = enterMs + entryMs;
    if (bestMs === Infinity) continue;
    reached.push(index);
    costsMs.push(bestMs + msPerLayer + (extraLayerMs?.(id, layer) ?? 0));
    previous.push(from);
  }
  return { holders: reached, costsMs, previous };
}

/** The cheapest path that ends in a failure domain. */
interface Cheapest {
  readonly domain: number;
  readonly holder: number;
  readonly costMs: number;
}

/** Costs of hops between the failure domains of the candidates, by their indices. */
class DomainHops {
  readonly #domainOf: number[];
  readonly #hopsMs: number[][];

  constructor({ candidates, crossDomainHopMs }: PathSearch) {
    const names = [...new Set(candidates.map(({ domain }) => domain))];
    const indices = new Map(names.map((name, index) => [name, index]));
    this.#domainOf = candidates.map(({ domain }) => indices.get(domain) ?? 0);
    this.#hopsMs = names.map((from) =>
      names.map((to) =>
        from === to
          ? SAME_DOMAIN_HOP_MS
          : crossDomainHopMs?.(from, to) ?? DEFAULT_CROSS_DOMAIN_HOP_MS
      )
    );
  }

  hopMs(domain: number, candidate: number): number {
    return this.#hopsMs[domain][this.#domainOf[candidate]];
  }

  cheapest({ holders, costsMs }: LayerCosts): Cheapest[] {
    const best: Cheapest[] = [];
    holders.forEach((holder, position) => {
      const domain = this.#domainOf[holder];
      const costMs = costsMs[position];
      if (best[domain] === undefined || costMs < best[domain].costMs) {
        best[domain] = { domain, holder, costMs };
      }
    });
    return best.filter((one) => one !== undefined);
  }
}

function tracePath(
  { candidates, layers, firstStage }: PathSearch,
  found: readonly LayerCosts[],
): FoundPath | undefined {
  const last = found.at(-1);
  if (last === undefined) return undefined;
  const msPerToken = last.costsMs.reduce((a, b) => Math.min(a, b));
  const startLayer = firstStage?.to ?? 0;
  const stages: PathStage[] = [];
  let holder = last.holders[last.costsMs.indexOf(msPerToken)];
  let to = layers;
  for (let layer = layers - 1; layer >= startLayer; layer--) {
    const { holders, previous } = found[layer - startLayer];
    const from = previous[holders.indexOf(holder)];
    if (from === holder && layer > startLayer) continue;
    const { id, address } = candidates[holder];
    stages.push({ targetId: id, address, from: layer, to });
    to = layer;
    holder = from;
  }
  if (firstStage !== undefined) stages.push(firstStage);
  return { stages: stages.reverse(), msPerToken };
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

/**
 * One walk through the layered graph, from layer 0 to the last. At each
 * boundary two targets are drawn with the weights of the best flow, changed
 * by health and by reported load, and the one with less of this host's work
 * is taken. Every draw is random, so that hosts with the same old reports do
 * not all go the same way. Requests that share a prefix go to few targets.
 *
 * @module
 */

import { hash32 } from "../common/hash.ts";
import type { Random } from "../common/random.ts";
import type { SpanEdge } from "./chain_graph.ts";
import type { ChainPlan } from "./chain_plans.ts";
import type { ChainStep } from "./chain_steps.ts";
import type { SlowComponents } from "./slow_components.ts";
import type { TargetLoad } from "./target_load.ts";

/** How much more loaded a target with a cached prefix may be than the next. */
const AFFINITY_LOAD_FACTOR = 1.25;

/** What a walk looks at. */
export interface ChainWalkOptions {
  readonly plan: ChainPlan;
  /** Leaves out a part of the plan's targets; all are used by default. */
  readonly mayUse?: (edge: SpanEdge) => boolean;
  readonly load: TargetLoad;
  readonly slowComponents: SlowComponents;
  readonly random: Random;
  /** True for a target whose rate is known and that has no room. */
  isFull(edge: SpanEdge): boolean;
  /** Set for a prefix seen before: its hash, and its share of all requests. */
  readonly prefix?: { readonly hash: number; readonly share: number };
}

interface Candidate {
  readonly step: ChainStep;
  readonly weight: number;
}

/** Name of the link between two failure domains, as a part of a chain. */
export function linkName(from: SpanEdge, to: SpanEdge): string {
  return `${from.failureDomain}>${to.failureDomain}`;
}

/** Walks once; undefined when every target of some boundary is full. */
export function walkChain(options: ChainWalkOptions): SpanEdge[] | undefined {
  const path: SpanEdge[] = [];
  let boundary = 0;
  while (boundary < options.plan.layerCount) {
    const candidates = weightCandidates(options, path.at(-1), boundary);
    if (candidates.length === 0) return undefined;
    const { step } = options.prefix
      ? selectByPrefix(candidates, options)
      : selectByLoad(candidates, options);
    path.push(step.edge);
    boundary = step.edge.end;
  }
  return path;
}

function weightCandidates(
  options: ChainWalkOptions,
  last: SpanEdge | undefined,
  boundary: number,
): Candidate[] {
  const { plan, load, slowComponents: slowParts, mayUse } = options;
  const all = plan.steps.from(boundary, last?.failureDomain);
  const steps = mayUse ? all.filter(({ edge }) => mayUse(edge)) : all;
  const hasFlow = steps.some(({ tokensPerS }) => tokensPerS > 0);
  const weighted = steps.map(({ edge, tokensPerS }) => ({
    target: edge.target,
    weight: hasFlow ? tokensPerS : edge.tokensPerS,
  }));
  const balanceFactors = load.balanceFactors(weighted);
  const targetFactors = slowParts.factors(weighted.map(({ target }) => target));
  const linkFactors = slowParts.factors(steps.map(({ link }) => link ?? ""));
  return steps
    .map((step, index) => {
      const { target, weight } = weighted[index];
      const factor = balanceFactors[index] * targetFactors[index] *
        linkFactors[index] *
        load.healthFactor(target);
      return { step, weight: weight * factor };
    })
    .filter(({ step, weight }) =>
      weight > 0 && !options.isFull(step.edge) && !isLinkFull(step, load)
    );
}

/** A link is full at this host when its share of the link's room is used. */
function isLinkFull(
  { link, linkStreams }: ChainStep,
  load: TargetLoad,
): boolean {
  if (link === undefined || linkStreams === undefined) return false;
  const ownCapacity = Math.max(1, linkStreams / load.fleetScale());
  return load.inFlight(link) >= ownCapacity;
}

function selectByLoad(
  candidates: readonly Candidate[],
  options: ChainWalkOptions,
): Candidate {
  const { random } = options;
  const first = drawWeighted(candidates, { weightOf, random })!;
  const others = candidates.filter((candidate) => candidate !== first);
  const second = drawWeighted(others, { weightOf, random });
  if (!second) return first;
  const { load } = options;
  return ownCost(second, load) < ownCost(first, load) ? second : first;
}

function weightOf(candidate: Candidate): number {
  return candidate.weight;
}

/** This host's work there for its weight, at the target or on the link. */
function ownCost({ step, weight }: Candidate, load: TargetLoad): number {
  const { edge, link, linkTokensPerS } = step;
  const targetCost = load.ownLoad(edge.target) / weight;
  if (link === undefined || linkTokensPerS <= 0) return targetCost;
  return Math.max(targetCost, load.ownLoad(link) / linkTokensPerS);
}

function selectByPrefix(
  candidates: readonly Candidate[],
  options: ChainWalkOptions,
): Candidate {
  const { hash, share } = options.prefix!;
  const ranked = rankByPrefix(candidates, hash);
  const targetCount = Math.ceil(share * ranked.length);
  if (targetCount > 1) {
    return selectByLoad(ranked.slice(0, targetCount), options);
  }
  if (ranked.length === 1) return ranked[0];
  const costOf = ({ step, weight }: Candidate) =>
    (options.load.estimatedStreams(step.edge.target) + 1) / weight;
  const limit = costOf(ranked[1]) * AFFINITY_LOAD_FACTOR + 1 / ranked[0].weight;
  if (costOf(ranked[0]) <= limit) return ranked[0];
  return selectByLoad(ranked.slice(1), options);
}

/** Weighted rendezvous: every host ranks the targets of a prefix alike. */
function rankByPrefix(
  candidates: readonly Candidate[],
  prefixHash: number,
): Candidate[] {
  const scored = candidates.map((candidate) => {
    const { target, tokensPerS } = candidate.step.edge;
    const uniform = (hash32(target, prefixHash) + 0.5) / 2 ** 32;
    return { candidate, score: -tokensPerS / Math.log(uniform) };
  });
  scored.sort((a, b) => b.score - a.score);
  return scored.map(({ candidate }) => candidate);
}

/** Draws an item with a chance in proportion to its weight. */
export function drawWeighted<T>(
  items: readonly T[],
  options: { weightOf(item: T): number; readonly random: Random },
): T | undefined {
  const total = items.reduce((sum, item) => sum + options.weightOf(item), 0);
  let remaining = options.random() * total;
  for (const item of items) {
    remaining -= options.weightOf(item);
    if (remaining < 0) return item;
  }
  return items.at(-1);
}

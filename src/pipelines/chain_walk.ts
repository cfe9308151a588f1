/**
 * Random walk through the layered graph, from layer 0 to the last. At each
 * boundary two targets are drawn, weighted by the maximum flow, health and
 * reported load, and the one with less load from this host is selected.
 * Randomness keeps hosts with the same stale reports from all selecting the same
 * target. Requests that share a prefix go to a small set of targets.
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

/** Maximum cost of a target with a cached prefix, relative to the next one. */
const AFFINITY_LOAD_FACTOR = 1.25;

export interface ChainWalkOptions {
  readonly plan: ChainPlan;
  /** Excludes edges of the plan; all are used by default. */
  readonly mayUse?: (edge: SpanEdge) => boolean;
  readonly load: TargetLoad;
  readonly slowComponents: SlowComponents;
  readonly random: Random;
  /** Whether a target with a known rate has no capacity left. */
  isFull(edge: SpanEdge): boolean;
  /** Hash of a prefix seen before, and the share of targets that may serve it. */
  readonly prefix?: { readonly hash: number; readonly share: number };
}

interface Candidate {
  readonly step: ChainStep;
  readonly weight: number;
}

/** Name of the link between the failure domains of two spans, `from>to`. */
export function linkName(from: SpanEdge, to: SpanEdge): string {
  return `${from.failureDomain}>${to.failureDomain}`;
}

/** Performs one walk; undefined if no target is available at some boundary. */
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
  const { plan, load, slowComponents, mayUse } = options;
  const all = plan.steps.from(boundary, last?.failureDomain);
  const steps = mayUse ? all.filter(({ edge }) => mayUse(edge)) : all;
  const hasFlow = steps.some(({ tokensPerS }) => tokensPerS > 0);
  const weighted = steps.map(({ edge, tokensPerS }) => ({
    target: edge.target,
    weight: hasFlow ? tokensPerS : edge.tokensPerS,
  }));
  const balanceFactors = load.balanceFactors(weighted);
  const targetFactors = slowComponents.factors(
    weighted.map(({ target }) => target),
  );
  const linkFactors = slowComponents.factors(
    steps.map(({ link }) => link ?? ""),
  );
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

/** Whether this host uses up its share of the link's capacity. */
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

/** This host's load per weight, of the target or the link, whichever is higher. */
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

/** Weighted rendezvous hashing: every host ranks the targets of a prefix identically. */
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

/** Draws an item with probability proportional to its weight. */
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

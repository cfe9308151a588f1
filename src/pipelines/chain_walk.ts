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
import type { SlowParts } from "./slow_parts.ts";
import type { TargetLoad } from "./target_load.ts";

/** How much more loaded a target with a cached prefix may be than the next. */
const AFFINITY_LOAD_FACTOR = 1.25;

/** What a walk looks at. */
export interface ChainWalkOptions {
  readonly plan: ChainPlan;
  /** The plan's edges that may be used, all of them on whole chains. */
  readonly edges: readonly SpanEdge[];
  readonly load: TargetLoad;
  readonly slowParts: SlowParts;
  readonly random: Random;
  /** True for a target whose rate is known and that has no room. */
  isFull(edge: SpanEdge): boolean;
  /** Set for a prefix seen before: its hash, and its share of all requests. */
  readonly prefix?: { readonly hash: number; readonly share: number };
}

interface Candidate {
  readonly edge: SpanEdge;
  readonly link: string | undefined;
  readonly weight: number;
  /** Best flow through the link, in tokens a second; unused without one. */
  readonly linkFlow: number;
}

/** Name of the link between two failure domains, as a part of a chain. */
export function linkPart(from: SpanEdge, to: SpanEdge): string {
  return `${from.failureDomain}>${to.failureDomain}`;
}

/** Walks once; undefined when every target of some boundary is full. */
export function walkChain(options: ChainWalkOptions): SpanEdge[] | undefined {
  const path: SpanEdge[] = [];
  let boundary = 0;
  while (boundary < options.plan.layerCount) {
    const candidates = weighCandidates(options, path.at(-1), boundary);
    if (candidates.length === 0) return undefined;
    const { edge } = options.prefix
      ? chooseByPrefix(candidates, options)
      : chooseByLoad(candidates, options);
    path.push(edge);
    boundary = edge.end;
  }
  return path;
}

function weighCandidates(
  options: ChainWalkOptions,
  last: SpanEdge | undefined,
  boundary: number,
): Candidate[] {
  const { edges, plan, load, slowParts } = options;
  const next = edges.filter((edge) => edge.first === boundary);
  const links = next.map((edge) => last && linkPart(last, edge));
  const flows = next.map((edge) => flowInto(edge, plan, last));
  const hasFlow = flows.some((flow) => flow > 0);
  const weights = hasFlow ? flows : next.map((edge) => edge.tokensPerS);
  const tilts = load.tilts(
    next.map(({ target }, index) => ({ target, weight: weights[index] })),
  );
  const targetFactors = slowParts.factors(next.map(({ target }) => target));
  const linkFactors = slowParts.factors(links.map((link) => link ?? ""));
  return next
    .map((edge, index) => {
      const factor = tilts[index] * targetFactors[index] * linkFactors[index] *
        load.healthFactor(edge.target);
      const weight = weights[index] * factor;
      const linkFlow = last ? linkFlowInto(edge, plan, last) : 0;
      return { edge, link: links[index], weight, linkFlow };
    })
    .filter(({ edge, weight }) => weight > 0 && !options.isFull(edge))
    .filter(({ edge }) => !last || !isLinkFull(options, last, edge));
}

/** A link is full at this host when its share of the link's room is used. */
function isLinkFull(
  { plan, load }: ChainWalkOptions,
  last: SpanEdge,
  edge: SpanEdge,
): boolean {
  const room = plan.flow.linkStreams(last.failureDomain, edge.failureDomain);
  if (room === undefined) return false;
  const ownRoom = Math.max(1, room / load.fleetScale());
  return load.inFlight(linkPart(last, edge)) >= ownRoom;
}

/** Tokens a second that the best flow sends from `last` to `edge`. */
function flowInto(
  edge: SpanEdge,
  plan: ChainPlan,
  last: SpanEdge | undefined,
): number {
  const own = plan.flow.targetTokensPerS.get(edge.target) ?? 0;
  if (!last) return own;
  const link = linkFlowInto(edge, plan, last);
  if (link <= 0) return 0;
  return link * own /
    plan.flow.domainTokensPerS(edge.first, edge.failureDomain);
}

function linkFlowInto(
  { first, failureDomain }: SpanEdge,
  plan: ChainPlan,
  last: SpanEdge,
): number {
  return plan.flow.linkTokensPerS(first, last.failureDomain, failureDomain);
}

function chooseByLoad(
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
function ownCost(candidate: Candidate, load: TargetLoad): number {
  const { edge, link, weight, linkFlow } = candidate;
  const targetCost = load.ownWork(edge.target) / weight;
  if (link === undefined || linkFlow <= 0) return targetCost;
  return Math.max(targetCost, load.ownWork(link) / linkFlow);
}

function chooseByPrefix(
  candidates: readonly Candidate[],
  options: ChainWalkOptions,
): Candidate {
  const { hash, share } = options.prefix!;
  const ranked = rankByPrefix(candidates, hash);
  const spread = Math.ceil(share * ranked.length);
  if (spread > 1) return chooseByLoad(ranked.slice(0, spread), options);
  if (ranked.length === 1) return ranked[0];
  const costOf = ({ edge, weight }: Candidate) =>
    (options.load.estimatedStreams(edge.target) + 1) / weight;
  const limit = costOf(ranked[1]) * AFFINITY_LOAD_FACTOR + 1 / ranked[0].weight;
  if (costOf(ranked[0]) <= limit) return ranked[0];
  return chooseByLoad(ranked.slice(1), options);
}

/** Weighted rendezvous: every host ranks the targets of a prefix alike. */
function rankByPrefix(
  candidates: readonly Candidate[],
  prefixHash: number,
): Candidate[] {
  const scored = candidates.map((candidate) => {
    const { target, tokensPerS } = candidate.edge;
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
  let left = options.random() * total;
  for (const item of items) {
    left -= options.weightOf(item);
    if (left < 0) return item;
  }
  return items.at(-1);
}

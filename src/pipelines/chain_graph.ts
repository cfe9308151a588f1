/**
 * The layered graph of one pipeline: boundaries between layers are its nodes
 * and usable published spans its edges. A chain is a path from layer 0 to the
 * last. Everything here comes from published state, never from orders sent.
 *
 * @module
 */

import type { Config, PipelineConfig } from "../config/schema.ts";
import type { EngineState } from "../clients/types.ts";

/** Layer-tokens a second assumed of a target whose rate is not configured. */
export const DEFAULT_LAYER_TOKENS_PER_S = 10_000;

/** One published span as a chain may use it. */
export interface SpanEdge {
  readonly target: string;
  readonly url: string;
  readonly failureDomain: string;
  readonly first: number;
  readonly end: number;
  readonly generation: number;
  /** Tokens a second that the target computes through its span. */
  readonly tokensPerS: number;
}

/** What the spans of a chain have to agree on. */
export interface ModelVariant {
  readonly model: string;
  readonly version: string;
  readonly adapter?: string;
}

/** The targets that may serve a pipeline: its stages' and its standbys. */
export function pipelineTargets(pipeline: PipelineConfig): string[] {
  const stageTargets = pipeline.stages.flatMap((stage) => stage.targets);
  return [...new Set([...stageTargets, ...pipeline.standbys])];
}

/** True when an engine holds a part of the model that a chain can use now. */
export function isUsable(state: EngineState, variant: ModelVariant): boolean {
  if (state.loading || state.end <= state.first) return false;
  if (state.model !== variant.model) return false;
  if (state.version !== variant.version) return false;
  return variant.adapter === undefined ||
    state.adapters.includes(variant.adapter);
}

/** Writes a published state as an edge of the graph. */
export function spanEdge(
  state: EngineState,
  config: Config,
): SpanEdge | undefined {
  const target = config.targets[state.target];
  if (!target) return undefined;
  const layerTokensPerS = target.layerTokensPerS ?? DEFAULT_LAYER_TOKENS_PER_S;
  return {
    target: state.target,
    url: target.url,
    failureDomain: target.failureDomain,
    first: state.first,
    end: state.end,
    generation: state.generation,
    tokensPerS: layerTokensPerS / (state.end - state.first),
  };
}

/** Keeps the edges that lie on some path from layer 0 to `layerCount`. */
export function completeEdges(
  edges: readonly SpanEdge[],
  layerCount: number,
): SpanEdge[] {
  const reachesEnd = new Set([layerCount]);
  for (const edge of [...edges].sort((a, b) => b.first - a.first)) {
    if (reachesEnd.has(edge.end)) reachesEnd.add(edge.first);
  }
  const reachedFromStart = new Set([0]);
  const kept: SpanEdge[] = [];
  for (const edge of [...edges].sort((a, b) => a.first - b.first)) {
    if (!reachedFromStart.has(edge.first) || !reachesEnd.has(edge.end)) {
      continue;
    }
    reachedFromStart.add(edge.end);
    kept.push(edge);
  }
  return kept;
}

/**
 * The layered graph of one pipeline. Its nodes are boundaries between layers,
 * its edges usable spans, and a chain is a path from the first boundary to the
 * last. The graph is built from published state, never from orders sent.
 *
 * @module
 */

import type { Config, PipelineConfig } from "../config/schema.ts";
import type { EngineState } from "../clients/types.ts";

/** Rate assumed for a target without a configured rate. */
export const DEFAULT_LAYER_TOKENS_PER_S = 10_000;

/** A published span, as an edge of the graph. */
export interface SpanEdge {
  readonly target: string;
  readonly url: string;
  readonly failureDomain: string;
  readonly first: number;
  readonly end: number;
  readonly generation: number;
  /** Rate at which the target computes its span. */
  readonly tokensPerS: number;
}

/** Model, version and adapter that all spans of a chain must share. */
export interface ModelVariant {
  readonly model: string;
  readonly version: string;
  readonly adapter?: string;
}

/** The targets of a pipeline's stages and its standbys. */
export function pipelineTargets(pipeline: PipelineConfig): string[] {
  const stageTargets = pipeline.stages.flatMap((stage) => stage.targets);
  return [...new Set([...stageTargets, ...pipeline.standbys])];
}

/** Whether a chain of `variant` can use the engine's span now. */
export function isUsable(state: EngineState, variant: ModelVariant): boolean {
  if (state.loading || state.end <= state.first) return false;
  if (state.model !== variant.model) return false;
  if (state.version !== variant.version) return false;
  return variant.adapter === undefined ||
    state.adapters.includes(variant.adapter);
}

/** Converts a published state to an edge; undefined if its target is not configured. */
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

/** Returns the edges that lie on some path from layer 0 to `layerCount`. */
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

/**
 * Memory and time that a request costs a target, by the published figures of its
 * kind and its load. Pure.
 *
 * @module
 */

import type { EngineProfile } from "../ports/types.ts";
import type { Target } from "./target.ts";

/**
 * Share of a target's memory that is kept free, since answers may exceed their
 * estimated length.
 */
const MEMORY_HEADROOM_SHARE = 0.06;
/** Additional relative cost of a full target compared with an empty one. */
const FULLNESS_WEIGHT = 1.0;
/** Additional relative cost of a target of which all requests fail. */
export const FAILURE_WEIGHT = 4;
/**
 * Share of a target's streams that are in its batch at a time; the others are
 * at another stage.
 */
const ACTIVE_STREAM_SHARE = 0.3;

/** Memory available for requests beside the weights, in tokens x layers. */
export function totalTokenLayers(
  target: Target,
  figures: EngineProfile,
): number {
  const kind = figures.kinds.get(
    target.record.kind ?? target.report?.kind ?? "",
  );
  if (kind === undefined || target.span === undefined) return 0;
  const weightsMb = (target.span.to - target.span.from) * figures.layerMb;
  const bytesPerTokenLayer = figures.kvBytesPerToken / figures.layers;
  return Math.max(
    0,
    (kind.memoryMb - weightsMb) * 1_000_000 / bytesPerTokenLayer,
  );
}

/** Memory without the headroom that no request has reserved, in tokens x layers. */
export function freeTokenLayers(
  target: Target,
  figures: EngineProfile,
): number {
  const usable = totalTokenLayers(target, figures) *
    (1 - MEMORY_HEADROOM_SHARE);
  return usable - target.ownLoad.tokenLayers - target.peerLoad.tokenLayers;
}

/** Expected time per token and layer under the target's current load. */
export function expectedLayerMs(
  target: Target,
  figures: EngineProfile,
): number {
  const kind = figures.kinds.get(
    target.record.kind ?? target.report?.kind ?? "",
  );
  // Squared, since the queue of a slow target grows as well.
  const slowness = target.slowness ** 2;
  const pace = (kind?.decodeTimeFactor ?? 1) * slowness;
  const read = (kind?.prefillTimeFactor ?? 1) * slowness;
  const batch = (target.ownLoad.streams + target.peerLoad.streams) *
    ACTIVE_STREAM_SHARE;
  const contextK =
    (figures.typicalPromptTokens + figures.typicalAnswerTokens / 2) /
    1_000;
  const sequenceMs = figures.perSequenceMs +
    figures.contextPerKiloTokenMs * contextK;
  const stepMs = pace * (figures.stepMs + batch * sequenceMs);
  const readMs = read * figures.typicalPromptTokens /
    figures.prefillTokensPerMs /
    Math.max(1, figures.typicalAnswerTokens);
  return (stepMs + readMs) / figures.layers *
    fullnessFactor(target, figures, FULLNESS_WEIGHT) *
    (1 + target.failureRate * FAILURE_WEIGHT);
}

/** Relative cost of a target by its memory in use; 1 + `weight` if it is full. */
export function fullnessFactor(
  target: Target,
  figures: EngineProfile,
  weight: number,
): number {
  if (weight === 0) return 1;
  const total = totalTokenLayers(target, figures);
  const fullness = total === 0
    ? 1
    : 1 - freeTokenLayers(target, figures) / total;
  return 1 + weight * Math.max(0, fullness) ** 2;
}

/** Time to prefill one layer with the context of a request. */
export function prefillLayerMs(
  target: Target,
  { figures, tokens }: {
    readonly figures: EngineProfile;
    readonly tokens: number;
  },
): number {
  const kind = figures.kinds.get(
    target.record.kind ?? target.report?.kind ?? "",
  );
  const factor = (kind?.prefillTimeFactor ?? 1) * target.slowness;
  return factor * tokens / figures.prefillTokensPerMs / figures.layers;
}

/**
 * Applies the estimate of a request's times to the state of a target.
 *
 * @module
 */

import type { EngineProfile, PathStage } from "../ports/types.ts";
import type { ChoiceSpread } from "./choice_spread.ts";
import {
  estimatePath,
  estimateTarget,
  type PathEstimate,
  type TargetTimes,
} from "./path_estimate.ts";
import type { Target } from "./target.ts";
import type { TargetTable } from "./target_table.ts";

/** What the times of a request depend on. */
export interface TimedRequest {
  readonly figures: EngineProfile;
  readonly promptTokens: number;
  readonly spread: ChoiceSpread;
  /** Whether other hosts report their prefill work, or there are none. */
  readonly isReported: boolean;
}

export function targetTimes(
  target: Target,
  { figures, promptTokens, spread, isReported }: TimedRequest,
): TargetTimes {
  const kind = figures.kinds.get(
    target.record.kind ?? target.report?.kind ?? "",
  );
  const { ownLoad, peerLoad } = target;
  const reported = spread.isSmoothed
    ? target.meanPeerPrefill
    : peerLoad.prefillTokenLayers ?? 0;
  const times = estimateTarget({
    decodeTimeFactor: kind?.decodeTimeFactor ?? 1,
    prefillTimeFactor: kind?.prefillTimeFactor ?? 1,
    slowness: target.slowness,
    streams: ownLoad.streams + peerLoad.streams,
    prefillTokenLayers: spread.ownWeight * ownLoad.prefillTokenLayers +
      spread.peerWeight * reported,
  }, { figures, promptTokens });
  return isReported
    ? times
    : { ...times, backlogMs: target.prefillBacklog.remainingMs };
}

/** Estimates a path of which the stages of `current` already hold the prompt. */
export function pathTimes(
  stages: readonly PathStage[],
  { targetTable, request, current }: {
    readonly targetTable: TargetTable;
    readonly request: TimedRequest;
    readonly current: readonly PathStage[] | undefined;
  },
): PathEstimate {
  return estimatePath(stages.flatMap((stage) => {
    const target = targetTable.get(stage.targetId);
    if (target === undefined) return [];
    return [{
      times: targetTimes(target, request),
      layers: stage.to - stage.from,
      prefillLayers: layersToPrefill(stage, current),
    }];
  }));
}

/** Layers of a stage that its target does not already run on the current path. */
export function layersToPrefill(
  { targetId, from, to }: PathStage,
  current: readonly PathStage[] | undefined,
): number {
  let layers = 0;
  for (let layer = from; layer < to; layer++) {
    if (!runsLayer(current, targetId, layer)) layers++;
  }
  return layers;
}

/** Whether a stage of the path runs the layer on the target. */
export function runsLayer(
  path: readonly PathStage[] | undefined,
  targetId: string,
  layer: number,
): boolean {
  return path?.some((stage) =>
    stage.targetId === targetId && layer >= stage.from && layer < stage.to
  ) ?? false;
}

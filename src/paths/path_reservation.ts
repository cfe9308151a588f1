/**
 * A chosen path whose memory and prefill work count as in use at its targets.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { PathStage } from "../ports/types.ts";
import type { PathEstimate } from "./path_estimate.ts";
import type { TargetTable } from "./target_table.ts";
import { layersToPrefill } from "./target_times.ts";

/** A path with its memory reserved until `release` is called. */
export interface ReservedPath extends PathEstimate {
  readonly stages: readonly PathStage[];
  /**
   * Ends the path's prefill work at its targets. Returns the time since the
   * path was reserved; undefined if that was returned before, the path is
   * released, or it continues a request in progress.
   */
  recordFirstEvent(): number | undefined;
  release(): void;
}

export interface PathReservationOptions extends PathEstimate {
  readonly stages: readonly PathStage[];
  /** The path that it replaces; what both share is already prefilled. */
  readonly current: readonly PathStage[] | undefined;
  /** Memory to reserve. */
  readonly tokens: number;
  readonly promptTokens: number;
  readonly targetTable: TargetTable;
  readonly clock: Clock;
}

export function reservePath(options: PathReservationOptions): ReservedPath {
  const { stages, current, targetTable, clock } = options;
  const reservedMs = clock.nowMs();
  const loads = stages.flatMap((stage) => {
    const target = targetTable.get(stage.targetId);
    if (target === undefined) return [];
    return [{
      ownLoad: target.ownLoad,
      tokenLayers: options.tokens * (stage.to - stage.from),
      prefillTokenLayers: options.promptTokens *
        layersToPrefill(stage, current),
    }];
  });
  for (const { ownLoad, tokenLayers, prefillTokenLayers } of loads) {
    ownLoad.streams++;
    ownLoad.tokenLayers += tokenLayers;
    ownLoad.prefillTokenLayers += prefillTokenLayers;
  }
  let isPrefilling = true;
  const endPrefill = (): void => {
    if (!isPrefilling) return;
    isPrefilling = false;
    for (const { ownLoad, prefillTokenLayers } of loads) {
      ownLoad.prefillTokenLayers -= prefillTokenLayers;
    }
  };
  let isReserved = true;
  return {
    stages,
    firstEventMs: options.firstEventMs,
    msPerToken: options.msPerToken,
    recordFirstEvent: () => {
      if (!isPrefilling) return undefined;
      endPrefill();
      return current === undefined ? clock.nowMs() - reservedMs : undefined;
    },
    release: () => {
      if (!isReserved) return;
      isReserved = false;
      endPrefill();
      for (const { ownLoad, tokenLayers } of loads) {
        ownLoad.streams--;
        ownLoad.tokenLayers -= tokenLayers;
      }
    },
  };
}

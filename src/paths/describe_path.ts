/**
 * Text form of a path for log lines.
 *
 * @module
 */

import type { PathStage } from "../ports/types.ts";

/** Targets and their layers in order, as in `a=0-4,b=4-8`. */
export function describePath(stages: readonly PathStage[]): string {
  return stages.map(({ targetId, from, to }) => `${targetId}=${from}-${to}`)
    .join(",");
}

/**
 * Test fixture: the reachability of targets at a host whose own link is sound.
 *
 * @module
 */

import type { TargetReachability } from "../src/paths/target_reachability.ts";
import type { TargetTable } from "../src/paths/target_table.ts";

/** Every silent target is itself at fault. */
export function soundLink(
  targets: Pick<TargetTable, "markUnresponsive">,
): Pick<TargetReachability, "reportSilent" | "confirmCutOff" | "isCutOff"> {
  return {
    isCutOff: () => false,
    confirmCutOff: () => Promise.resolve(false),
    reportSilent: (targetId, evidence) => {
      targets.markUnresponsive(targetId, evidence);
      return Promise.resolve();
    },
  };
}

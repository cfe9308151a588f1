/**
 * The connections to targets.
 *
 * @module
 */

import { KeepAliveAgent } from "../common/keep_alive_agent.ts";
import type { ILog } from "../common/logging.ts";

export function createTargetAgent(log: ILog): KeepAliveAgent {
  return new KeepAliveAgent({
    onUnsolicitedData: (address, sizeBytes) =>
      log.warn("unexpected bytes on idle connection to target", {
        address,
        sizeBytes,
      }),
  });
}

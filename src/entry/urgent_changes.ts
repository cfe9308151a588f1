/**
 * Sends the state of this host when something changes that the other hosts are
 * to know before the next periodic broadcast.
 *
 * @module
 */

import type { ContentQuarantine } from "../admission/content_quarantine.ts";
import type { TargetLimits } from "../paths/target_limits.ts";
import type { TargetReachability } from "../paths/target_reachability.ts";
import type { PeerExchange } from "./peer_exchange.ts";

export interface UrgentChangesOptions {
  readonly peers: Pick<PeerExchange, "scheduleBroadcast">;
  readonly reachability: Pick<TargetReachability, "onChange">;
  readonly limits: Pick<TargetLimits, "onChange">;
  readonly quarantine: Pick<ContentQuarantine, "losses" | "breaks" | "onTrial">;
}

export function broadcastUrgentChanges(options: UrgentChangesOptions): void {
  const { peers, reachability, limits, quarantine } = options;
  const broadcast = (): void => peers.scheduleBroadcast();
  reachability.onChange(broadcast);
  limits.onChange(broadcast);
  quarantine.onTrial(broadcast);
  quarantine.losses.onLoss(broadcast);
  quarantine.breaks.onLoss(({ totalLosses }) => {
    // A first one, of many, can wait for the next periodic broadcast.
    if (totalLosses > 1) broadcast();
  });
}

/**
 * Sums of the loads that hosts place on targets.
 *
 * @module
 */

import type { PeerUse } from "./peer_state.ts";

/** Adds a load to the sum of its target, or takes it off; sums are not negative. */
export function addUse(
  sums: Map<string, PeerUse>,
  use: PeerUse,
  sign: 1 | -1 = 1,
): void {
  const { targetId } = use;
  const sum = sums.get(targetId);
  const add = (a = 0, b = 0): number => Math.max(0, a + sign * b);
  const isPrefillKnown = sum?.prefillTokenLayers !== undefined ||
    (sign > 0 && use.prefillTokenLayers !== undefined);
  sums.set(targetId, {
    targetId,
    streams: add(sum?.streams, use.streams),
    tokenLayers: add(sum?.tokenLayers, use.tokenLayers),
    // Hosts of earlier versions count as having none.
    ...(isPrefillKnown
      ? {
        prefillTokenLayers: add(
          sum?.prefillTokenLayers,
          use.prefillTokenLayers,
        ),
      }
      : {}),
  });
}

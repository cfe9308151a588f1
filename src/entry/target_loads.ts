/**
 * The loads on targets, as hosts send them to each other.
 *
 * @module
 */

import type { TargetTable } from "../paths/target_table.ts";
import type { PeerUse } from "../peers/peer_state.ts";

/** Load of this host on the targets that it uses. */
export function ownUses(targets: TargetTable): PeerUse[] {
  return targets.all().flatMap(({ id, ownLoad }) =>
    ownLoad.streams > 0 ? [{ targetId: id, ...ownLoad }] : []
  );
}

/**
 * Sets the load of the other hosts on all targets. Where no host uses a target,
 * the prefill work there is known to be none if hosts send it at all.
 */
export function applyPeerUses(
  targets: TargetTable,
  uses: ReadonlyMap<string, PeerUse>,
): void {
  const isPrefillSent = [...uses.values()].some((use) =>
    use.prefillTokenLayers !== undefined
  );
  for (const target of targets.all()) {
    const use = uses.get(target.id);
    const unusedPrefill = isPrefillSent ? 0 : undefined;
    const prefillTokenLayers = use ? use.prefillTokenLayers : unusedPrefill;
    target.peerLoad = {
      streams: use?.streams ?? 0,
      tokenLayers: use?.tokenLayers ?? 0,
      ...(prefillTokenLayers === undefined ? {} : { prefillTokenLayers }),
    };
  }
}

/**
 * How a host names itself to the others.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { HostRecord, HostSettings } from "../ports/types.ts";

export function hostRecord(settings: HostSettings, clock: Clock): HostRecord {
  const { hostId, domain, ip, peerPorts } = settings;
  return {
    id: hostId,
    domain,
    ip,
    port: peerPorts.first,
    bornMs: clock.wallMs(),
  };
}

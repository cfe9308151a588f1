/**
 * Test fixture: a link to other hosts whose socket receives what a test emits.
 *
 * @module
 */

import type { Socket } from "node:dgram";
import { EventEmitter } from "node:events";
import { type ILog, silentLog } from "../src/common/logging.ts";
import { PeerLink } from "../src/peers/peer_link.ts";
import type { PeerState } from "../src/peers/peer_state.ts";
import type { HostRecord } from "../src/ports/types.ts";
import { ManualClock } from "./manual_clock.ts";

/** The state of a host that knows nothing. */
export const EMPTY_STATE: PeerState = {
  sequenceNumber: 1,
  uses: [],
  unresponsiveTargets: [],
  slowTargets: undefined,
  canLead: true,
  isReader: true,
  acceptsDelegated: true,
  cutOffServices: [],
  losses: [],
  breaks: [],
  limits: [],
  era: undefined,
  isEraSettled: false,
  wantsDigests: false,
};

export function listen(host: HostRecord, log: ILog = silentLog): {
  readonly clock: ManualClock;
  readonly link: PeerLink;
  readonly receive: (bytes: Buffer) => void;
} {
  const clock = new ManualClock();
  const socket = Object.assign(new EventEmitter(), {
    bind: (_port: number, _ip: string, done: () => void) => done(),
    address: () => ({ port: 1 }),
    close: () => {},
    send: () => {},
  });
  const link = new PeerLink({
    host,
    clock,
    log,
    createSocket: () => socket as unknown as Socket,
  });
  void link.open();
  const receive = (bytes: Buffer) =>
    void socket.emit("message", bytes, { address: "10.0.0.9", port: 9 });
  return { clock, link, receive };
}

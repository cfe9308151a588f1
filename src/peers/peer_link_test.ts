import type { RemoteInfo, Socket } from "node:dgram";
import { EventEmitter } from "node:events";
import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { silentLog } from "../common/logging.ts";
import { PeerLink } from "./peer_link.ts";
import { encodePeerState } from "./peer_state.ts";

const SILENCE_MS = 2_000;
const hostOf = (id: string, bornMs: number) => ({
  id,
  domain: "a",
  ip: "10.0.0.1",
  port: 7_340,
  bornMs,
});
const STATE = {
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

async function openLink() {
  const clock = new ManualClock();
  const socket = Object.assign(new EventEmitter(), {
    bind: (_port: number, _ip: string, onBound: () => void) => onBound(),
    address: () => ({ port: 7_340 }),
    send: () => {},
    close: () => {},
  });
  const link = new PeerLink({
    host: hostOf("self", 1),
    clock,
    log: silentLog,
    createSocket: () => socket as unknown as Socket,
  });
  await link.open();
  const receive = (bornMs: number, sequenceNumber: number): void => {
    const state = { ...STATE, sequenceNumber };
    const datagram = encodePeerState(hostOf("other", bornMs), state);
    socket.emit("message", datagram, {} as RemoteInfo);
  };
  const liveBornMs = () => link.live().map(({ host }) => host.bornMs);
  return { link, clock, receive, liveBornMs };
}

// Its clock had gone back before its start, and the others ignored it for a minute.
test("a process with an earlier start replaces one that is no longer heard", async () => {
  const { clock, receive, liveBornMs } = await openLink();
  receive(9_000, 40);
  receive(5_000, 1);
  expect(liveBornMs()).toEqual([9_000]);
  await clock.advance(SILENCE_MS);
  receive(5_000, 2);
  expect(liveBornMs()).toEqual([5_000]);
});

// Another writer's record of a live host kept it out for as long as it stood there.
test("a record with a later start does not keep out a host that is heard", async () => {
  const { link, clock, receive, liveBornMs } = await openLink();
  link.addHosts([hostOf("other", 9e15)]);
  receive(5_000, 1);
  link.addHosts([hostOf("other", 9e15)]);
  expect(liveBornMs()).toEqual([5_000]);
  await clock.advance(SILENCE_MS);
  link.addHosts([hostOf("other", 6_000)]);
  expect(link.known().map(({ bornMs }) => bornMs)).toEqual([6_000]);
});

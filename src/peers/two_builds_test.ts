/**
 * Messages of another build: with members that this one does not know, and
 * without those that it knows; and bytes that are no message.
 *
 * @module
 */

import fc from "fast-check";
import { expect, test } from "vitest";
import { listen } from "../../test/fake_link.ts";
import { silentLog } from "../common/logging.ts";
import { type Datagram, decodeDatagram } from "./datagram.ts";
import { packDigests } from "./domain_digest.ts";
import { encodeLogAnswer, encodeLogQuery } from "./log_messages.ts";
import { encodePeerState } from "./peer_state.ts";

const SEED = 20261205;
const HOST = { id: "h", domain: "a", ip: "10.0.0.1", port: 7340, bornMs: 5 };
const LOSS = {
  contentId: "c",
  clearCount: 1,
  losses: 2,
  totalLosses: 4,
  processes: ["a"],
  lossEventId: -1,
};
const SHARED = {
  sequenceNumber: 3,
  uses: [{ targetId: "t", streams: 2, tokenLayers: 400 }],
  losses: [LOSS],
  breaks: [],
  era: 7,
  isEraSettled: true,
};
const MESSAGES: Readonly<Record<Datagram["kind"], Buffer>> = {
  state: encodePeerState(HOST, {
    ...SHARED,
    unresponsiveTargets: ["s"],
    slowTargets: [["w", 2.5]],
    canLead: true,
    isReader: true,
    acceptsDelegated: true,
    cutOffServices: ["s"],
    limits: [],
    wantsDigests: true,
  }),
  digests: packDigests([{
    ...SHARED,
    relay: HOST,
    hostCount: 2,
    members: [HOST],
    leader: HOST,
    reader: HOST,
    limitedDelegates: [],
    unresponsiveTargets: [{ targetId: "s", hostIds: ["h"] }],
    slowTargets: [["w", 2.5]],
    limits: [],
  }], 8_000)[0],
  query: encodeLogQuery({
    id: 4,
    log: "config",
    fromOffset: 9,
    mayWait: true,
    era: 7,
    canFetch: true,
  }),
  answer: encodeLogAnswer({
    id: 4,
    read: {
      watermarkDeltaMs: -12.25,
      sinceRecoveryMs: 900.5,
      nextOffset: 10,
      records: [{ key: "k", value: Buffer.from("v") }],
      era: 7,
    },
  }),
};
const KINDS = Object.keys(MESSAGES) as Datagram["kind"][];
type Members = Record<string, unknown>;

/** The message itself, or the one digest in it, as other builds would change it. */
function changed(kind: Datagram["kind"], change: (one: Members) => void) {
  const message = JSON.parse(MESSAGES[kind].toString());
  change(kind === "digests" ? message.dig[0] : message);
  return Buffer.from(JSON.stringify(message));
}

test.each(KINDS)("a %s of a build with more members is understood", (kind) => {
  const more = changed(kind, (message) => {
    message.added = { by: "another build" };
    for (const list of ["ask", "say"]) {
      if (Array.isArray(message[list])) message[list].push("added");
    }
  });
  expect(decodeDatagram(MESSAGES[kind])).toMatchObject({ kind });
  expect(decodeDatagram(more)).toEqual(decodeDatagram(MESSAGES[kind]));
});

test.each(KINDS)(
  "a %s of a build with fewer members is read or discarded",
  (kind) => {
    const names = Object.keys(
      kind === "digests"
        ? JSON.parse(MESSAGES[kind].toString()).dig[0]
        : JSON.parse(MESSAGES[kind].toString()),
    );
    for (const name of names) {
      const fewer = changed(kind, (message) => delete message[name]);
      expect([undefined, kind]).toContain(decodeDatagram(fewer)?.kind);
    }
  },
);

test("bytes that are no message change nothing, and are logged at a bounded rate", async () => {
  const lines: unknown[] = [];
  const { clock, link, receive } = listen({ ...HOST, id: "self" }, {
    ...silentLog,
    warn: (event, fields) => void lines.push([event, fields]),
  });
  const events: unknown[] = [];
  link.onState((event) => events.push(event));
  link.onQuery((event) => events.push(event));
  const noise = fc.oneof(
    fc.uint8Array({ maxLength: 80 }).map((bytes) => Buffer.from(bytes)),
    fc.jsonValue().map((value) => Buffer.from(JSON.stringify(value))),
    fc.tuple(fc.constantFrom(...KINDS), fc.nat(), fc.nat({ max: 255 })).map(
      ([kind, at, byte]) => {
        const cut = MESSAGES[kind].subarray(0, at % MESSAGES[kind].length);
        return Buffer.from([...cut, byte]);
      },
    ),
  );
  fc.assert(
    fc.property(noise, (bytes) => void receive(bytes)),
    { seed: SEED, numRuns: 600 },
  );
  expect(events).toEqual([]);
  expect(lines).toHaveLength(1);
  await clock.advance(1_000);
  receive(Buffer.from("x"));
  expect(lines).toHaveLength(2);
  expect(lines[1]).toMatchObject([
    "malformed peer datagram discarded",
    { from: "10.0.0.9" },
  ]);
});

import fc from "fast-check";
import { expect, test } from "vitest";
import { decodeDatagram } from "./datagram.ts";
import { encodePeerState } from "./peer_state.ts";

const MAX_UDP_BYTES = 65_507;
const HOST = { id: "h", domain: "a", ip: "10.0.0.1", port: 7340, bornMs: 5 };
const STATE = {
  sequenceNumber: 3,
  uses: [{ targetId: "t", streams: 2, tokenLayers: 400 }],
  unresponsiveTargets: ["s"],
  slowTargets: [["w", 2.5]] as const,
  canLead: true,
  isReader: true,
  acceptsDelegated: true,
  cutOffServices: ["s"],
  losses: [{
    contentId: "c",
    clearCount: 1,
    losses: 2,
    totalLosses: 4,
    processes: ["a"],
    lossEventId: -1,
  }],
  breaks: [],
  limits: [
    { targetId: "t", limitPerS: 3.5, ageMs: 20, recentSends: 4 },
    { targetId: "s", limitPerS: undefined, ageMs: 900, recentSends: 0 },
  ],
  era: 7,
  isEraSettled: true,
  wantsDigests: true,
};

test("a state is decoded as it was encoded", () => {
  expect(decodeDatagram(encodePeerState(HOST, STATE))).toEqual({
    kind: "state",
    received: { host: HOST, state: STATE },
  });
});

// The state of a host that had read one such record reached no other host.
test.each(["losses", "breaks"] as const)(
  "%s of any size leave the state small enough for a datagram, with the others",
  (list) => {
    const names = Array.from({ length: 5_000 }, (_, i) => `process ${i}`);
    const [sound] = STATE.losses;
    const entries = [
      { ...sound, processes: names },
      sound,
      { ...sound, processes: [], companions: names },
      ...Array(200).fill({ ...sound, contentId: "x".repeat(255) }),
    ];
    const datagram = encodePeerState(HOST, { ...STATE, [list]: entries });
    expect(datagram.length).toBeLessThan(MAX_UDP_BYTES / 2);
    expect(decodeDatagram(datagram)).toMatchObject({
      received: { host: HOST, state: { uses: STATE.uses } },
    });
    const decoded = JSON.parse(datagram.toString())[
      list === "losses" ? "c" : "b"
    ];
    expect(decoded[0][0]).toBe(sound.contentId);
  },
);

test("malformed bytes are rejected or decode to a host with a valid port", () => {
  const sent = JSON.parse(encodePeerState(HOST, STATE).toString());
  const datagrams = fc.oneof(
    fc.uint8Array({ maxLength: 100 }).map((raw) => Buffer.from(raw)),
    fc.tuple(fc.constantFrom(...Object.keys(sent)), fc.jsonValue()).map(
      ([name, value]) =>
        Buffer.from(JSON.stringify({ ...sent, [name]: value })),
    ),
    fc.tuple(fc.nat({ max: 4 }), fc.jsonValue()).map(([index, value]) =>
      Buffer.from(JSON.stringify({ ...sent, h: sent.h.with(index, value) }))
    ),
  );
  fc.assert(
    fc.property(datagrams, (datagram) => {
      const decoded = decodeDatagram(datagram);
      if (decoded === undefined) return;
      if (decoded.kind !== "state") throw new Error(decoded.kind);
      const { received } = decoded;
      expect(received.host.port).toBeGreaterThan(0);
      expect(received.host.port).toBeLessThan(65_536);
    }),
    { seed: 20261203, numRuns: 500 },
  );
});

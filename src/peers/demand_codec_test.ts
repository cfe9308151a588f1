import { expect, test } from "vitest";
import { decodeDatagram } from "./datagram.ts";
import {
  decodeDemand,
  foldRanks,
  MAX_HOST_REQUESTS,
  MAX_RANKS,
  type ServiceDemand,
} from "./demand_codec.ts";
import { type DomainDigest, packDigests } from "./domain_digest.ts";
import { encodePeerState, type PeerState } from "./peer_state.ts";

const HOST = { id: "h", domain: "a", ip: "10.0.0.1", port: 1, bornMs: 5 };
const DEMAND: ServiceDemand[] = [{
  service: "s",
  ranks: [
    { rank: -1, offeredPerS: 1, startedPerS: 1, waiting: 0 },
    { rank: 18, offeredPerS: 9, startedPerS: 4, waiting: 5 },
  ],
}];
const USES = [
  { targetId: "t1", streams: 2, tokenLayers: 100, prefillTokenLayers: 40 },
  { targetId: "t2", streams: 1, tokenLayers: 50, prefillTokenLayers: 0 },
];
const STATE: PeerState = {
  sequenceNumber: 7,
  uses: USES,
  unresponsiveTargets: ["t9"],
  slowTargets: undefined,
  canLead: true,
  isReader: false,
  acceptsDelegated: true,
  cutOffServices: [],
  losses: [],
  breaks: [],
  limits: [],
  era: 3,
  isEraSettled: true,
  wantsDigests: true,
  demand: DEMAND,
};
const DIGEST: DomainDigest = {
  relay: HOST,
  sequenceNumber: 7,
  hostCount: 1,
  members: undefined,
  leader: undefined,
  reader: undefined,
  limitedDelegates: undefined,
  uses: USES,
  unresponsiveTargets: [],
  slowTargets: undefined,
  losses: [],
  breaks: [],
  limits: [],
  era: undefined,
  isEraSettled: false,
  demand: { demand: DEMAND, ageMs: 300 },
};
/** What the version before demand sent, and reads, of the same state. */
const EARLIER = {
  h: ["h", "a", "10.0.0.1", 1, 5],
  n: 7,
  u: [["t1", 2, 100], ["t2", 1, 50]],
  q: ["t9"],
  w: null,
  l: 1,
  r: 0,
  a: 1,
  x: [],
  c: [],
  b: [],
  m: [],
  e: [3, 1],
  d: 1,
};

function fieldsOf(state: PeerState): Record<string, unknown> {
  return JSON.parse(encodePeerState(HOST, state).toString());
}

function stateOf(fields: unknown): PeerState | undefined {
  const datagram = decodeDatagram(Buffer.from(JSON.stringify(fields)));
  return datagram?.kind === "state" ? datagram.received.state : undefined;
}

function digestOf(datagram: Buffer): DomainDigest | undefined {
  const decoded = decodeDatagram(datagram);
  return decoded?.kind === "digests" ? decoded.digests[0] : undefined;
}

function withoutPrefill({ targetId, streams, tokenLayers }: typeof USES[0]) {
  return { targetId, streams, tokenLayers };
}

test("demand and prefill work survive the way through a state and a digest", () => {
  expect(stateOf(fieldsOf(STATE))).toEqual(STATE);
  expect(digestOf(packDigests([DIGEST], 8_000)[0])).toEqual(DIGEST);
});

test("an earlier version reads the rest of a state, and its states are read", () => {
  const { f: _f, v: _v, ...rest } = fieldsOf(STATE);
  expect(rest).toEqual(EARLIER);
  const state = stateOf(EARLIER);
  expect(state?.uses).toEqual(USES.map(withoutPrefill));
  expect(state?.demand).toBeUndefined();
  expect(state?.malformedLists).toBeUndefined();
});

test.each([
  ["no list", { s: 1 }],
  ["a service that is no list", ["s"]],
  ["a service without a name", [[1, 0, 1, 1, 1]]],
  ["a rank cut short", [["s", 0, 1, 1]]],
  ["a negative count", [["s", 0, -1, 1, 1]]],
  ["a fraction", [["s", 0, 1.5, 1, 1]]],
  ["a huge count", [["s", 0, 1, 1, MAX_HOST_REQUESTS + 1]]],
  ["a huge rank", [["s", 1e9, 1, 1, 1]]],
  ["more ranks than are sent", [["s", ...new Array(4 * 33).fill(1)]]],
  ["more services than are sent", new Array(65).fill(["s"])],
])("malformed demand, %s, is dropped without the rest of the state", (_, v) => {
  const state = stateOf({ ...fieldsOf(STATE), v });
  expect(state?.malformedLists).toEqual(["demand"]);
  expect(state?.demand).toBeUndefined();
  expect(state?.uses).toEqual(USES);
});

test.each([[[1]], [[1, -1]], [[1, "2"]], [{}]])(
  "malformed prefill work, %j, is dropped without the loads",
  (f) => {
    const state = stateOf({ ...fieldsOf(STATE), f });
    expect(state?.malformedLists).toEqual(["prefill"]);
    expect(state?.uses).toEqual(USES.map(withoutPrefill));
  },
);

test.each([-1, 1e12, "1"])("a digest's demand of age %s is dropped", (age) => {
  const text = packDigests([DIGEST], 8_000)[0].toString();
  const changed = text.replace("[300,", `[${JSON.stringify(age)},`);
  const digest = digestOf(Buffer.from(changed));
  expect(digest?.malformedLists).toEqual(["demand"]);
  expect(digest?.uses).toEqual(USES);
});

test("ranks beyond the last that is sent are added to it", () => {
  const ranks = Array.from({ length: 40 }, (_, rank) => ({
    rank,
    offeredPerS: 1,
    startedPerS: 2,
    waiting: 3,
  }));
  const folded = foldRanks([...ranks].reverse());
  expect(folded.length).toBe(MAX_RANKS);
  expect(folded.at(-1)).toEqual({
    rank: MAX_RANKS - 1,
    offeredPerS: 9,
    startedPerS: 18,
    waiting: 27,
  });
  const demand = [{ service: "s", ranks }];
  const sent = fieldsOf({ ...STATE, demand }).v;
  expect(decodeDemand(sent, MAX_HOST_REQUESTS)?.[0].ranks).toEqual(folded);
});

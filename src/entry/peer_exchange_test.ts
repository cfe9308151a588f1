import { expect, test } from "vitest";
import { EMPTY_STATE } from "../../test/fake_link.ts";
import { ManualClock } from "../../test/manual_clock.ts";
import { ContentQuarantine } from "../admission/content_quarantine.ts";
import { Emitter } from "../common/emitter.ts";
import { silentLog } from "../common/logging.ts";
import { EraTracker } from "../feeds/era_tracker.ts";
import { TargetLimits } from "../paths/target_limits.ts";
import { TargetTable } from "../paths/target_table.ts";
import type { DomainDigest } from "../peers/domain_digest.ts";
import type { Peer, PeerLink, PeerUpdate } from "../peers/peer_link.ts";
import type { PeerState } from "../peers/peer_state.ts";
import type { HostRecord } from "../ports/types.ts";
import { DemandExchange } from "./demand_exchange.ts";
import { QuarantineSync } from "./quarantine_sync.ts";
import { PeerExchange } from "./peer_exchange.ts";

function hostOf(id: string, bornMs: number, domain = "a"): HostRecord {
  return { id, domain, ip: "10.0.0.1", port: 1, bornMs };
}

function peerOf(host: HostRecord, isReader: boolean): Peer {
  const state: PeerState = { ...EMPTY_STATE, isReader };
  return { host, state, lastReceivedMs: 0, lastKnownMs: 0 };
}

/** An exchange among `peers` with a fake link that records broadcasts. */
function exchangeAmong(
  peers: Peer[],
  options: {
    canRead?: boolean;
    isStoreDown?: () => boolean;
  } = {},
) {
  const { isStoreDown = () => false } = options;
  const clock = new ManualClock();
  const sent: { atMs: number; state: PeerState }[] = [];
  let listings = 0;
  const link = {
    host: hostOf("self", 50),
    live: () => peers,
    addHosts: () => {},
    known: () => peers.map(({ host }) => host),
    knownCount: peers.length,
    onState: new Emitter<PeerUpdate>().event,
    onDigest: new Emitter<DomainDigest>().event,
    sendState: (state: PeerState) => sent.push({ atMs: clock.nowMs(), state }),
    sendDigests: () => {},
  } as unknown as PeerLink;
  const targets = new TargetTable({ clock, log: silentLog });
  for (const id of ["t1", "t2", "t3", "t4", "t5"]) {
    targets.put({
      id,
      service: "s",
      address: `10.0.1.1:${id[1]}`,
      domain: "a",
      state: "ready",
      bornMs: 0,
      kind: undefined,
      span: undefined,
    });
  }
  const eras = new EraTracker({ clock, log: silentLog });
  const registered = { announcements: 0, settledEras: [] as number[] };
  const registry = {
    announce: () => {
      registered.announcements++;
      return Promise.resolve();
    },
    list: () => {
      listings++;
      if (isStoreDown()) return Promise.reject(new Error("down"));
      return Promise.resolve({
        hosts: [],
        quarantined: [],
        settledEra: undefined,
      });
    },
    writeQuarantine: () => Promise.resolve(),
    removeQuarantine: () => Promise.resolve(),
    writeSettledEra: (era: number) => {
      registered.settledEras.push(era);
      return Promise.resolve();
    },
  };
  const exchange = new PeerExchange({
    cutOffServices: () => [],
    link,
    registry,
    eras,
    demand: new DemandExchange({
      clock,
      log: silentLog,
      random: () => 0.5,
      peers: () => ({ peerDemands: () => [], hostCount: 1 }),
    }),
    random: () => 0.5,
    quarantine: new QuarantineSync({
      quarantine: new ContentQuarantine({ clock }),
      registry,
      log: silentLog,
      isLeader: () => false,
    }),
    targets,
    limits: new TargetLimits({
      clock,
      log: silentLog,
      targets,
      hostId: "self",
      otherHosts: () => [],
    }),
    clock,
    log: silentLog,
    canLead: () => true,
    canRead: () => options.canRead ?? true,
    acceptsDelegated: () => true,
    slowTargets: () => [],
    onPeerLoad: () => {},
  });
  return {
    exchange,
    sent,
    targets,
    clock,
    eras,
    registered,
    listings: () => listings,
  };
}

test("the reader is the oldest host of the failure domain that reads the store", () => {
  const older = peerOf(hostOf("older", 10), true);
  const oldest = peerOf(hostOf("oldest", 5), true);
  expect(exchangeAmong([older, oldest]).exchange.reader()?.id).toBe("oldest");
});

test("there is no reader to query if this host is the oldest or only one that reads the store", () => {
  const younger = peerOf(hostOf("younger", 90), true);
  const idle = peerOf(hostOf("idle", 1), false);
  const elsewhere = peerOf(hostOf("elsewhere", 60, "b"), true);
  expect(exchangeAmong([younger, idle, elsewhere]).exchange.reader())
    .toBeUndefined();
  expect(exchangeAmong([]).exchange.reader()).toBeUndefined();
});

test("the oldest reader of a failure domain queries the oldest of the fleet", () => {
  const younger = peerOf(hostOf("younger", 90), true);
  const elsewhere = peerOf(hostOf("elsewhere", 1, "b"), true);
  const among = exchangeAmong([younger, elsewhere]);
  expect(among.exchange.reader()?.id).toBe("elsewhere");
});

test("a failure domain without a reader queries another domain's", () => {
  const elsewhere = peerOf(hostOf("elsewhere", 90, "b"), true);
  const { exchange } = exchangeAmong([elsewhere], { canRead: false });
  expect(exchange.reader()?.id).toBe("elsewhere");
});

test("a host whose own reads fail queries a younger host", () => {
  const younger = peerOf(hostOf("younger", 90), true);
  const { exchange } = exchangeAmong([younger], { canRead: false });
  expect(exchange.reader()?.id).toBe("younger");
});

function peersOf(count: number): Peer[] {
  return Array.from(
    { length: count },
    (_, index) => peerOf(hostOf(`h${index}`, index), false),
  );
}

test.each([[8, 40, 250], [72, 17, 600]])(
  "among %i other hosts a host broadcasts about %i times in ten seconds",
  async (others, times, leastPauseMs) => {
    const { exchange, sent, clock } = exchangeAmong(peersOf(others));
    const stop = new AbortController();
    void exchange.runSender(stop.signal);
    await clock.advance(10_000);
    stop.abort();
    expect(Math.abs(sent.length - times)).toBeLessThanOrEqual(1);
    const pausesMs = sent.slice(1).map(({ atMs }, index) =>
      atMs - sent[index].atMs
    );
    expect(Math.min(...pausesMs)).toBeGreaterThanOrEqual(leastPauseMs);
  },
);

test("targets that become unresponsive together are reported promptly, in one broadcast", async () => {
  const { sent, targets, clock } = exchangeAmong(peersOf(3));
  for (const id of ["t1", "t2"]) {
    const target = targets.get(id);
    target?.markUnresponsive();
    if (target !== undefined) targets.notify(target);
  }
  await clock.advance(50);
  expect(sent.map(({ state }) => state.unresponsiveTargets)).toEqual([[
    "t1",
    "t2",
  ]]);
});

test("the total rate of registry reads does not grow with the number of hosts", async () => {
  const readings = async (others: number) => {
    const { exchange, clock, listings } = exchangeAmong(peersOf(others));
    const stop = new AbortController();
    void exchange.runRegistry(stop.signal);
    await clock.advance(120_000);
    stop.abort();
    return listings() * (others + 1);
  };
  expect(await readings(71)).toBeLessThanOrEqual(await readings(11) * 2);
});

test("a host whose registration a new era may lack registers once more, not more often", async () => {
  const { exchange, clock, eras, registered } = exchangeAmong([]);
  const stop = new AbortController();
  void exchange.runRegistry(stop.signal);
  eras.observe(1, "store");
  await clock.advance(10_000);
  expect(registered.announcements).toBe(1);
  eras.observe(2, "store");
  await clock.advance(400);
  expect(registered.announcements).toBe(2);
  await clock.advance(30_000);
  expect(registered.announcements).toBe(2);
  stop.abort();
});

test("the leader keeps the settled era in the store, once it is settled", async () => {
  const { exchange, clock, eras, registered } = exchangeAmong([]);
  const stop = new AbortController();
  eras.observe(3, "store");
  void exchange.runRegistry(stop.signal);
  await clock.advance(1_500);
  expect(registered.settledEras).toEqual([]);
  await clock.advance(9_000);
  expect(registered.settledEras[0]).toBe(3);
  stop.abort();
});

test("a host that starts in an outage of the store asks it less and less often", async () => {
  let isDown = true;
  const { exchange, clock, listings } = exchangeAmong([], {
    isStoreDown: () => isDown,
  });
  const stop = new AbortController();
  void exchange.runRegistry(stop.signal);
  await clock.advance(20_000);
  const failed = listings();
  expect(failed).toBeLessThanOrEqual(10);
  isDown = false;
  await clock.advance(5_000);
  expect(listings() - failed).toBeGreaterThanOrEqual(3);
  stop.abort();
});

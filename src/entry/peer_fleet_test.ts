import type { Socket } from "node:dgram";
import { expect, test } from "vitest";
import { ManualClock } from "../../test/manual_clock.ts";
import { ContentQuarantine } from "../admission/content_quarantine.ts";
import { silentLog } from "../common/logging.ts";
import { seededRandom } from "../common/random.ts";
import { EraTracker } from "../feeds/era_tracker.ts";
import { TargetLimits } from "../paths/target_limits.ts";
import { TargetTable } from "../paths/target_table.ts";
import { PeerLink } from "../peers/peer_link.ts";
import type { HostRecord } from "../ports/types.ts";
import { PeerExchange } from "./peer_exchange.ts";
import { QuarantineSync } from "./quarantine_sync.ts";

const DOMAINS = 5;
const TARGETS = 20;
const LATENCY_MS = 1;

type Handler = (message: Buffer, sender: unknown) => void;

interface Host {
  readonly record: HostRecord;
  readonly exchange: PeerExchange;
  readonly targets: TargetTable;
  readonly quarantine: ContentQuarantine;
  readonly limits: TargetLimits;
  readonly stop: AbortController;
  isDown: boolean;
  sent: { messages: number; bytes: number };
  received: { messages: number; bytes: number };
}

/** Hosts with their own exchange over a network of virtual time. */
class Fleet {
  readonly clock = new ManualClock();
  readonly hosts: Host[] = [];
  readonly #random = seededRandom(2026);
  lossShare = 0;
  isCut: (from: HostRecord, to: HostRecord) => boolean = () => false;
  readonly #handlers = new Map<number, Handler>();

  constructor(count: number) {
    for (let i = 0; i < count; i++) this.#add(i);
  }

  async start(): Promise<void> {
    for (const host of this.hosts) {
      void host.exchange.runRegistry(host.stop.signal);
      await this.clock.advance(1);
    }
    for (const host of this.hosts) {
      void host.exchange.runSender(host.stop.signal);
    }
    await this.clock.advance(4_000);
  }

  kill(host: Host): void {
    host.isDown = true;
    host.stop.abort();
  }

  live(): Host[] {
    return this.hosts.filter(({ isDown }) => !isDown);
  }

  #add(index: number): void {
    const record: HostRecord = {
      id: `host-${index}`,
      domain: `domain-${index % DOMAINS}`,
      ip: "10.0.0.1",
      port: index + 1,
      bornMs: index,
    };
    const { clock } = this;
    const log = silentLog;
    const link = new PeerLink({
      host: record,
      clock,
      log,
      createSocket: () => this.#socket(index),
    });
    void link.open();
    const targets = new TargetTable({ clock, log });
    for (let i = 0; i < TARGETS; i++) {
      targets.put({
        id: `target-${i}`,
        service: "s",
        address: `10.0.1.1:${i}`,
        domain: `domain-${i % DOMAINS}`,
        state: "ready",
        bornMs: 0,
        kind: undefined,
        span: undefined,
      });
    }
    const registry = {
      announce: () => Promise.resolve(),
      list: () =>
        Promise.resolve({
          hosts: this.hosts.map((host) => host.record),
          quarantined: [],
          settledEra: undefined,
        }),
      writeQuarantine: () => Promise.resolve(),
      removeQuarantine: () => Promise.resolve(),
      writeSettledEra: () => Promise.resolve(),
    };
    const quarantine = new ContentQuarantine({ clock });
    const limits: TargetLimits = new TargetLimits({
      clock,
      log,
      targets,
      hostId: record.id,
      otherHosts: () => exchange.otherHostIds(),
    });
    const exchange: PeerExchange = new PeerExchange({
      link,
      registry,
      clock,
      log,
      targets,
      limits,
      eras: new EraTracker({ clock, log }),
      random: () => 0.5,
      quarantine: new QuarantineSync({
        quarantine,
        registry,
        log,
        isLeader: () => false,
      }),
      canLead: () => true,
      canRead: () => true,
      slowTargets: () => [["target-3", 2.5]],
      onPeerLoad: () => {},
    });
    quarantine.losses.onLoss(() => exchange.scheduleBroadcast());
    limits.onChange(() => exchange.scheduleBroadcast());
    this.hosts.push({
      record,
      exchange,
      targets,
      quarantine,
      limits,
      stop: new AbortController(),
      isDown: false,
      sent: { messages: 0, bytes: 0 },
      received: { messages: 0, bytes: 0 },
    });
  }

  #socket(index: number): Socket {
    const socket = {
      on: (event: string, handler: Handler) => {
        if (event === "message") this.#handlers.set(index, handler);
      },
      once: () => {},
      off: () => {},
      bind: (_port: number, _ip: string, bound: () => void) => bound(),
      address: () => ({ port: index + 1 }),
      close: () => {},
      send: (message: Buffer, port: number) =>
        void this.#deliver(index, port - 1, message),
    };
    return socket as unknown as Socket;
  }

  async #deliver(from: number, to: number, message: Buffer): Promise<void> {
    const [sender, receiver] = [this.hosts[from], this.hosts[to]];
    if (sender.isDown) return;
    sender.sent.messages++;
    sender.sent.bytes += message.length;
    await this.clock.sleep(LATENCY_MS);
    const isLost = this.#random() < this.lossShare ||
      this.isCut(sender.record, receiver.record);
    if (isLost || receiver.isDown) return;
    receiver.received.messages++;
    receiver.received.bytes += message.length;
    this.#handlers.get(to)?.(message, { address: "10.0.0.1", port: from + 1 });
  }
}

/** Sends and receipts of the busiest and the mean host, a second. */
async function trafficOf(count: number) {
  const fleet = new Fleet(count);
  await fleet.start();
  for (const { sent, received } of fleet.hosts) {
    Object.assign(sent, { messages: 0, bytes: 0 });
    Object.assign(received, { messages: 0, bytes: 0 });
  }
  await fleet.clock.advance(6_000);
  const perS = fleet.hosts.map(({ sent, received }) =>
    (sent.messages + received.messages) / 6
  );
  for (const host of fleet.hosts) fleet.kill(host);
  return {
    mean: perS.reduce((sum, one) => sum + one, 0) / count,
    max: Math.max(...perS),
  };
}

function markUnresponsive({ targets }: Host, id: string): void {
  const target = targets.get(id);
  target?.markUnresponsive();
  if (target !== undefined) targets.notify(target);
}

test.each([9, 60, 195])(
  "%i hosts agree on their number, one leader and one reader",
  async (count) => {
    const fleet = new Fleet(count);
    await fleet.start();
    expect(new Set(fleet.hosts.map(({ exchange }) => exchange.hostCount)))
      .toEqual(new Set([count]));
    expect(fleet.hosts.filter(({ exchange }) => exchange.isLeader()).length)
      .toBe(1);
    expect(
      fleet.hosts.filter(({ exchange }) => exchange.reader() === undefined)
        .length,
    ).toBe(1);
    for (const host of fleet.hosts) fleet.kill(host);
  },
);

test("what a host sends and receives does not grow with the fleet", async () => {
  const [small, large] = [await trafficOf(60), await trafficOf(180)];
  expect(large.mean).toBeLessThanOrEqual(small.mean * 1.25);
});

test("every host knows the load of all others within four broadcasts", async () => {
  const fleet = new Fleet(60);
  await fleet.start();
  for (const { targets } of fleet.hosts) {
    const load = targets.get("target-1")?.ownLoad;
    if (load !== undefined) load.streams = 2;
  }
  await fleet.clock.advance(2_400);
  for (const { targets } of fleet.hosts) {
    expect(targets.get("target-1")?.peerLoad.streams).toBe(2 * 59);
    expect(targets.get("target-3")?.slowness).toBe(2.5);
  }
  for (const host of fleet.hosts) fleet.kill(host);
});

test("two hosts' word on an unresponsive target reaches all others within 200 ms, with two relays down", async () => {
  const fleet = new Fleet(60);
  await fleet.start();
  for (const host of fleet.hosts.slice(0, DOMAINS)) fleet.kill(host);
  await fleet.clock.advance(3_000);
  const [a, b] = fleet.live().slice(-2);
  for (const host of [a, b]) markUnresponsive(host, "target-7");
  await fleet.clock.advance(200);
  const unaware = fleet.live().filter(({ targets }) =>
    targets.get("target-7")?.isResponsive
  );
  expect(unaware.map(({ record }) => record.id)).toEqual([]);
  for (const host of fleet.hosts) fleet.kill(host);
});

test("both relays of every domain killed at once: all others agree again within five seconds", async () => {
  const fleet = new Fleet(60);
  await fleet.start();
  for (const host of fleet.hosts.slice(0, 2 * DOMAINS)) fleet.kill(host);
  await fleet.clock.advance(5_000);
  const counts = fleet.live().map(({ exchange }) => exchange.hostCount);
  expect(new Set(counts)).toEqual(new Set([50]));
  expect(fleet.live().filter(({ exchange }) => exchange.isLeader()).length)
    .toBe(1);
  for (const host of fleet.hosts) fleet.kill(host);
});

test("with two datagrams of a hundred lost, no host counts less than nine tenths of the others", async () => {
  const fleet = new Fleet(60);
  fleet.lossShare = 0.02;
  await fleet.start();
  let least = Infinity;
  for (let i = 0; i < 40; i++) {
    await fleet.clock.advance(250);
    for (const { exchange } of fleet.hosts) {
      least = Math.min(least, exchange.hostCount);
    }
  }
  expect(least).toBeGreaterThanOrEqual(54);
  for (const host of fleet.hosts) fleet.kill(host);
});

test("a failure domain that is cut off is known as down, and back after the cut", async () => {
  const fleet = new Fleet(60);
  await fleet.start();
  const isInside = ({ domain }: HostRecord) => domain === "domain-1";
  fleet.isCut = (from, to) => isInside(from) !== isInside(to);
  await fleet.clock.advance(4_000);
  for (const { record, exchange } of fleet.hosts) {
    expect(exchange.hostCount).toBe(isInside(record) ? 12 : 48);
  }
  fleet.isCut = () => false;
  await fleet.clock.advance(4_000);
  for (const { exchange } of fleet.hosts) expect(exchange.hostCount).toBe(60);
  for (const host of fleet.hosts) fleet.kill(host);
});

test("a content that ended targets and a limit named at one host reach all hosts within 200 ms", async () => {
  const fleet = new Fleet(60);
  await fleet.start();
  const [host] = fleet.hosts.slice(-1);
  for (const lossCount of [1, 2, 3]) {
    host.quarantine.losses.recordLoss("content", {
      baseline: host.quarantine.losses.baseline("content"),
      lastEventId: undefined,
      process: `process-${lossCount}`,
    });
  }
  host.limits.observe("target-2", {
    limitPerS: 3,
    sentMs: fleet.clock.nowMs(),
    mayWithdraw: true,
  });
  await fleet.clock.advance(200);
  for (const { quarantine, limits } of fleet.hosts) {
    expect(quarantine.losses.isQuarantined("content")).toBe(true);
    expect(limits.limitedCount).toBe(1);
  }
  for (const one of fleet.hosts) fleet.kill(one);
});

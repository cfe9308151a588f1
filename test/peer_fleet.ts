/**
 * Hosts that exchange their states and digests over a network of virtual time,
 * with the product's own code.
 *
 * @module
 */

import type { Socket } from "node:dgram";
import { ManualClock } from "./manual_clock.ts";
import { ContentQuarantine } from "../src/admission/content_quarantine.ts";
import { type ILog, silentLog } from "../src/common/logging.ts";
import { seededRandom } from "../src/common/random.ts";
import { EraTracker } from "../src/feeds/era_tracker.ts";
import { TargetLimits } from "../src/paths/target_limits.ts";
import { TargetTable } from "../src/paths/target_table.ts";
import { PeerLink } from "../src/peers/peer_link.ts";
import type { HostRecord } from "../src/ports/types.ts";
import { PeerExchange } from "../src/entry/peer_exchange.ts";
import { DemandExchange } from "../src/entry/demand_exchange.ts";
import { QuarantineSync } from "../src/entry/quarantine_sync.ts";

/** Failure domains among which hosts and targets are spread. */
export const DOMAINS = 5;
const DEFAULT_TARGETS = 20;
const LATENCY_MS = 1;

type Handler = (message: Buffer, sender: unknown) => void;

export interface FleetHost {
  readonly record: HostRecord;
  readonly exchange: PeerExchange;
  readonly link: PeerLink;
  readonly targets: TargetTable;
  readonly quarantine: ContentQuarantine;
  readonly limits: TargetLimits;
  readonly demand: DemandExchange;
  readonly stop: AbortController;
  isDown: boolean;
  sent: { messages: number; bytes: number };
  received: { messages: number; bytes: number };
}

/** Hosts with their own exchange over a network of virtual time. */
export class PeerFleet {
  readonly clock = new ManualClock();
  /** Services that hosts are cut off from, by host. */
  readonly cutOff = new Map<string, readonly string[]>();
  /** Hosts that accept no requests of others. */
  readonly stopping = new Set<string>();
  readonly hosts: FleetHost[] = [];
  readonly #random = seededRandom(2026);
  /** Of the exchange of demand. */
  log: ILog = silentLog;
  lossShare = 0;
  isCut: (from: HostRecord, to: HostRecord) => boolean = () => false;
  /** Further latency of what a host sends. */
  delayMs: (from: HostRecord) => number = () => 0;
  readonly #handlers = new Map<number, Handler>();

  readonly #targetCount: number;

  constructor(count: number, targetCount = DEFAULT_TARGETS) {
    this.#targetCount = targetCount;
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

  kill(host: FleetHost): void {
    host.isDown = true;
    host.stop.abort();
  }

  /** Ends all hosts, so that the clock has nothing left to do. */
  close(): void {
    for (const host of this.hosts) this.kill(host);
  }

  live(): FleetHost[] {
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
    for (let i = 0; i < this.#targetCount; i++) {
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
    const demand: DemandExchange = new DemandExchange({
      clock,
      log: this.log,
      random: seededRandom(index),
      peers: () => exchange,
    });
    const exchange: PeerExchange = new PeerExchange({
      demand,
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
      cutOffServices: () => this.cutOff.get(record.id) ?? [],
      canRead: () => true,
      acceptsDelegated: () => !this.stopping.has(record.id),
      slowTargets: () => [["target-3", 2.5]],
      onPeerLoad: () => {},
    });
    quarantine.losses.onLoss(() => exchange.scheduleBroadcast());
    limits.onChange(() => exchange.scheduleBroadcast());
    this.hosts.push({
      record,
      exchange,
      link,
      targets,
      quarantine,
      limits,
      demand,
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
    await this.clock.sleep(LATENCY_MS + this.delayMs(sender.record));
    const isLost = this.#random() < this.lossShare ||
      this.isCut(sender.record, receiver.record);
    if (isLost || receiver.isDown) return;
    receiver.received.messages++;
    receiver.received.bytes += message.length;
    this.#handlers.get(to)?.(message, { address: "10.0.0.1", port: from + 1 });
  }
}

/** Lets a host find a target unresponsive. */
export function markUnresponsive({ targets }: FleetHost, id: string): void {
  const target = targets.get(id);
  target?.markUnresponsive();
  if (target !== undefined) targets.notify(target);
}

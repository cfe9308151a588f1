/**
 * Tells the other hosts what this one uses and doubts, and takes in what they
 * tell; names the host that places the model.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { ILog } from "../common/logging.ts";
import type { Target } from "../paths/target.ts";
import type { TargetTable } from "../paths/target_table.ts";
import type { Peer, PeerLink } from "../peers/peer_link.ts";
import type { PeerState, PeerUse } from "../peers/peer_state.ts";
import type { IHostRegistry } from "../ports/services.ts";
import type { HostRecord } from "../ports/types.ts";

/** Time between datagrams to each host, among few hosts. */
const SEND_MS = 250;
/** From here on the time grows with the hosts, so that what a link carries stays the same. */
const MANY_HOSTS = 24;
/** Longest time between datagrams; a host that was not heard for 1.5 s counts as down. */
const MAX_SEND_MS = 600;
/** Targets that fall silent within this time are told together. */
const TELL_PAUSE_MS = 20;
/** Time between readings of the registry. */
const REGISTRY_MS = 8_000;
/** From here on the time grows with the hosts, who hear of one another anyway. */
const REGISTRY_HOSTS = 12;
/** The same until this host has announced itself. */
const FIRST_REGISTRY_MS = 400;
/** Readings soon after the start, while hosts that start together announce themselves. */
const EARLY_READINGS = 3;
/** A target that another host doubts is avoided until it is told again, or not. */
const PEER_DOUBT_MS = 800;
/** A host that doubts more than this part of the targets is itself cut off. */
const MAX_DOUBT_SHARE = 0.4;

/** Options of an exchange. */
export interface PeerExchangeOptions {
  readonly link: PeerLink;
  readonly registry: IHostRegistry;
  readonly book: TargetTable;
  readonly clock: Clock;
  readonly log: ILog;
  /** In touch with the store and not stopping. */
  readonly canLead: () => boolean;
  /** Reads of the store's logs are answered, and this host is not stopping. */
  readonly canRead: () => boolean;
  readonly slowTargets: () => (readonly [string, number])[];
  /** Called when the load of other hosts is known anew. */
  readonly onLoad: () => void;
}

/** Exchanges states with the other hosts. */
export class PeerExchange {
  readonly #options: PeerExchangeOptions;
  #count = 0;
  #isAnnounced = false;
  #isTelling = false;

  constructor(options: PeerExchangeOptions) {
    this.#options = options;
    options.book.onChange((target) => {
      if (target.noResponseSinceMs !== undefined) this.#tellSoon();
    });
    options.link.onState((peer) => this.#take(peer));
  }

  /** Whether this host has told the others that it exists. */
  get isAnnounced(): boolean {
    return this.#isAnnounced;
  }

  /** The oldest live host that can lead does; ties go by name. */
  isLeader(): boolean {
    const { link, canLead } = this.#options;
    if (!canLead() || !this.#isAnnounced || this.#isCutOff()) return false;
    return link.live().every((peer) =>
      peer.state?.canLead !== true || isBefore(link.host, peer.host)
    );
  }

  /**
   * The oldest host of this failure domain that reads the store; undefined
   * where that is this one or there is none.
   */
  reader(): HostRecord | undefined {
    const { link, canRead } = this.#options;
    let oldest = canRead() ? link.host : undefined;
    for (const { host, state } of link.live()) {
      if (state?.isReader !== true || host.domain !== link.host.domain) {
        continue;
      }
      if (oldest === undefined || isBefore(host, oldest)) oldest = host;
    }
    return oldest === link.host ? undefined : oldest;
  }

  /** Sends states until it is stopped. */
  async runSender(signal: AbortSignal): Promise<void> {
    const { clock, link, onLoad } = this.#options;
    while (!signal.aborted) {
      link.send(this.#state());
      this.#sumPeerUse();
      onLoad();
      const manyFold = (link.live().length + 1) / MANY_HOSTS;
      const pauseMs = Math.min(MAX_SEND_MS, SEND_MS * Math.max(1, manyFold));
      await clock.sleep(pauseMs, signal);
    }
  }

  /** Announces this host and reads the registry until it is stopped. */
  async runRegistry(signal: AbortSignal): Promise<void> {
    const { clock, registry, link, log } = this.#options;
    let readings = 0;
    while (!signal.aborted) {
      try {
        if (!this.#isAnnounced) await registry.announce(link.host);
        this.#isAnnounced = true;
        link.learn(await registry.list());
        readings++;
      } catch (error) {
        log.info("host registry unavailable", { reason: String(error) });
      }
      const isEarly = readings < EARLY_READINGS;
      const pauseMs = REGISTRY_MS *
        Math.max(1, (link.live().length + 1) / REGISTRY_HOSTS);
      await clock.sleep(isEarly ? FIRST_REGISTRY_MS : pauseMs, signal);
    }
  }

  /** The others avoid a silent target as soon as they hear of it. */
  #tellSoon(): void {
    if (this.#isTelling) return;
    this.#isTelling = true;
    const { clock, link } = this.#options;
    void clock.sleep(TELL_PAUSE_MS).then(() => {
      this.#isTelling = false;
      link.send(this.#state());
    });
  }

  #state(): PeerState {
    const uses: PeerUse[] = [];
    const silentTargets: string[] = [];
    for (const target of this.#options.book.all()) {
      const { streams, tokenLayers } = target.ownLoad;
      if (streams > 0) uses.push({ targetId: target.id, streams, tokenLayers });
      if (target.noResponseSinceMs !== undefined) silentTargets.push(target.id);
    }
    return {
      count: ++this.#count,
      uses,
      silentTargets: this.#isCutOff() ? [] : silentTargets,
      slowTargets: this.isLeader() ? this.#options.slowTargets() : undefined,
      canLead: this.#options.canLead() && !this.#isCutOff(),
      isReader: this.#options.canRead(),
    };
  }

  #isCutOff(): boolean {
    const targets = this.#options.book.all();
    const silent = targets.filter((target) =>
      target.noResponseSinceMs !== undefined
    );
    return silent.length > targets.length * MAX_DOUBT_SHARE;
  }

  #take({ host, state }: Peer): void {
    if (state === undefined) return;
    const { book, clock } = this.#options;
    const untilMs = clock.nowMs() + PEER_DOUBT_MS;
    for (const id of state.silentTargets) {
      const target = book.get(id);
      if (target === undefined) continue;
      const wasTrusted = target.isAvailable;
      target.addSuspicion(host.id, untilMs);
      if (wasTrusted && !target.isAvailable) book.notify(target);
    }
    if (state.slowTargets === undefined) return;
    const slow = new Map(state.slowTargets);
    for (const target of book.all()) target.slowness = slow.get(target.id) ?? 1;
  }

  #sumPeerUse(): void {
    const { book, link } = this.#options;
    const sums = new Map<string, Target["peerLoad"]>();
    for (const peer of link.live()) {
      for (const use of peer.state?.uses ?? []) {
        const sum = sums.get(use.targetId) ?? { streams: 0, tokenLayers: 0 };
        sum.streams += use.streams;
        sum.tokenLayers += use.tokenLayers;
        sums.set(use.targetId, sum);
      }
    }
    for (const target of book.all()) {
      target.peerLoad = sums.get(target.id) ?? { streams: 0, tokenLayers: 0 };
    }
  }
}

function isBefore(a: HostRecord, b: HostRecord): boolean {
  return a.bornMs < b.bornMs || (a.bornMs === b.bornMs && a.id < b.id);
}

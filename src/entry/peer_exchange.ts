/**
 * Tells the other hosts what this one uses and doubts, and takes in what they
 * tell; names the host that places the model.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { ILog } from "../common/logging.ts";
import type { Target } from "../paths/target.ts";
import type { TargetBook } from "../paths/target_book.ts";
import type { Peer, PeerLink } from "../peers/peer_link.ts";
import type { PeerState, PeerUse } from "../peers/peer_state.ts";
import type { IHostRegistry } from "../ports/services.ts";
import type { HostRecord } from "../ports/types.ts";

/** Time between datagrams to each host, among few hosts. */
const SEND_INTERVAL_MS = 250;
/** From here on the time grows with the hosts, so that what a link carries stays the same. */
const SEND_SCALING_HOSTS = 24;
/** Longest time between datagrams; a host that was not heard for 1.5 s counts as down. */
const MAX_SEND_INTERVAL_MS = 600;
/** Targets that fall silent within this time are told together. */
const BROADCAST_DELAY_MS = 20;
/** Time between readings of the registry. */
const REGISTRY_INTERVAL_MS = 8_000;
/** From here on the time grows with the hosts, who hear of one another anyway. */
const REGISTRY_SCALING_HOSTS = 12;
/** The same until this host has announced itself. */
const INITIAL_REGISTRY_INTERVAL_MS = 400;
/** Readings soon after the start, while hosts that start together announce themselves. */
const INITIAL_REGISTRY_READS = 3;
/** A target that another host doubts is avoided until it is told again, or not. */
const SUSPICION_TTL_MS = 800;
/** A host that doubts more than this part of the targets is itself cut off. */
const MAX_UNRESPONSIVE_SHARE = 0.4;

/** Options of an exchange. */
export interface PeerExchangeOptions {
  readonly link: PeerLink;
  readonly registry: IHostRegistry;
  readonly targets: TargetBook;
  readonly clock: Clock;
  readonly log: ILog;
  /** In touch with the store and not stopping. */
  readonly canLead: () => boolean;
  /** Reads of the store's logs are answered, and this host is not stopping. */
  readonly canRead: () => boolean;
  readonly slowTargets: () => (readonly [string, number])[];
  /** Called when the load of other hosts is known anew. */
  readonly onPeerLoad: () => void;
}

/** Exchanges states with the other hosts. */
export class PeerExchange {
  readonly #options: PeerExchangeOptions;
  #sequenceNumber = 0;
  #isAnnounced = false;
  #isBroadcastScheduled = false;

  constructor(options: PeerExchangeOptions) {
    this.#options = options;
    options.targets.onChange((target) => {
      if (target.silentSinceMs !== undefined) this.#scheduleBroadcast();
    });
    options.link.onState((peer) => this.#applyState(peer));
  }

  /** Whether this host has told the others that it exists. */
  get isAnnounced(): boolean {
    return this.#isAnnounced;
  }

  /** The oldest live host that can lead does; ties go by name. */
  isLeader(): boolean {
    const { link, canLead } = this.#options;
    if (!canLead() || !this.#isAnnounced || this.#isIsolated()) return false;
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
    const { clock, link, onPeerLoad } = this.#options;
    while (!signal.aborted) {
      link.broadcast(this.#state());
      this.#updatePeerUse();
      onPeerLoad();
      const scale = (link.live().length + 1) / SEND_SCALING_HOSTS;
      const pauseMs = Math.min(
        MAX_SEND_INTERVAL_MS,
        SEND_INTERVAL_MS * Math.max(1, scale),
      );
      await clock.sleep(pauseMs, signal);
    }
  }

  /** Announces this host and reads the registry until it is stopped. */
  async runRegistry(signal: AbortSignal): Promise<void> {
    const { clock, registry, link, log } = this.#options;
    let readCount = 0;
    while (!signal.aborted) {
      try {
        if (!this.#isAnnounced) await registry.announce(link.host);
        this.#isAnnounced = true;
        link.addHosts(await registry.list());
        readCount++;
      } catch (error) {
        log.info("host registry unavailable", { reason: String(error) });
      }
      const isEarly = readCount < INITIAL_REGISTRY_READS;
      const pauseMs = REGISTRY_INTERVAL_MS *
        Math.max(1, (link.live().length + 1) / REGISTRY_SCALING_HOSTS);
      await clock.sleep(
        isEarly ? INITIAL_REGISTRY_INTERVAL_MS : pauseMs,
        signal,
      );
    }
  }

  /** The others avoid a silent target as soon as they hear of it. */
  #scheduleBroadcast(): void {
    if (this.#isBroadcastScheduled) return;
    this.#isBroadcastScheduled = true;
    const { clock, link } = this.#options;
    void clock.sleep(BROADCAST_DELAY_MS).then(() => {
      this.#isBroadcastScheduled = false;
      link.broadcast(this.#state());
    });
  }

  #state(): PeerState {
    const uses: PeerUse[] = [];
    const unresponsiveTargets: string[] = [];
    for (const target of this.#options.targets.all()) {
      const { streams, tokenLayers } = target.ownUse;
      if (streams > 0) uses.push({ targetId: target.id, streams, tokenLayers });
      if (target.silentSinceMs !== undefined) {
        unresponsiveTargets.push(target.id);
      }
    }
    return {
      sequenceNumber: ++this.#sequenceNumber,
      uses,
      unresponsiveTargets: this.#isIsolated() ? [] : unresponsiveTargets,
      slowTargets: this.isLeader() ? this.#options.slowTargets() : undefined,
      canLead: this.#options.canLead() && !this.#isIsolated(),
      isReader: this.#options.canRead(),
    };
  }

  #isIsolated(): boolean {
    const targets = this.#options.targets.all();
    const silent = targets.filter((target) =>
      target.silentSinceMs !== undefined
    );
    return silent.length > targets.length * MAX_UNRESPONSIVE_SHARE;
  }

  #applyState({ host, state }: Peer): void {
    if (state === undefined) return;
    const { targets, clock } = this.#options;
    const untilMs = clock.nowMs() + SUSPICION_TTL_MS;
    for (const id of state.unresponsiveTargets) {
      const target = targets.get(id);
      if (target === undefined) continue;
      const wasTrusted = target.isTrusted;
      target.doubt(host.id, untilMs);
      if (wasTrusted && !target.isTrusted) targets.notify(target);
    }
    if (state.slowTargets === undefined) return;
    const slow = new Map(state.slowTargets);
    for (const target of targets.all()) {
      target.slowness = slow.get(target.id) ?? 1;
    }
  }

  #updatePeerUse(): void {
    const { targets, link } = this.#options;
    const sums = new Map<string, Target["peerUse"]>();
    for (const peer of link.live()) {
      for (const use of peer.state?.uses ?? []) {
        const sum = sums.get(use.targetId) ?? { streams: 0, tokenLayers: 0 };
        sum.streams += use.streams;
        sum.tokenLayers += use.tokenLayers;
        sums.set(use.targetId, sum);
      }
    }
    for (const target of targets.all()) {
      target.peerUse = sums.get(target.id) ?? { streams: 0, tokenLayers: 0 };
    }
  }
}

function isBefore(a: HostRecord, b: HostRecord): boolean {
  return a.bornMs < b.bornMs || (a.bornMs === b.bornMs && a.id < b.id);
}

/**
 * Broadcasts this host's load and unresponsive targets to the other hosts,
 * applies the states received from them, and elects the leader, which places
 * the model, and the host that reads the store.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { ILog } from "../common/logging.ts";
import type { EraTracker } from "../feeds/era_tracker.ts";
import type { Target } from "../paths/target.ts";
import type { TargetLimits } from "../paths/target_limits.ts";
import type { TargetTable } from "../paths/target_table.ts";
import type { Peer, PeerLink } from "../peers/peer_link.ts";
import type { PeerState, PeerUse } from "../peers/peer_state.ts";
import type { IHostRegistry } from "../ports/services.ts";
import type { HostRecord } from "../ports/types.ts";
import type { QuarantineSync } from "./quarantine_sync.ts";

/** Time between broadcasts, up to `SEND_SCALING_HOSTS` hosts. */
const SEND_INTERVAL_MS = 250;
/**
 * Above this count the interval grows with the number of hosts, which keeps the
 * traffic of a link constant.
 */
const SEND_SCALING_HOSTS = 24;
/**
 * Maximum time between broadcasts; a host from which none arrived for 1.5 s
 * counts as down.
 */
const MAX_SEND_INTERVAL_MS = 600;
/** Targets that become unresponsive within this time share a broadcast. */
const BROADCAST_DELAY_MS = 20;
/** Spreads the registrations of all hosts when the era of the store rises. */
const ERA_JITTER_MS = 300;
/** Time between registry reads. */
const REGISTRY_INTERVAL_MS = 8_000;
/**
 * Above this count the interval grows with the number of hosts, which discover
 * one another by datagrams anyway.
 */
const REGISTRY_SCALING_HOSTS = 12;
/**
 * Time between the first registry reads, and between retries while the registry
 * is unavailable at the start.
 */
const INITIAL_REGISTRY_INTERVAL_MS = 400;
/**
 * Number of registry reads at the shorter interval, while hosts that start
 * together announce themselves.
 */
const INITIAL_REGISTRY_READS = 3;
/**
 * How long a target stays suspect after another host reports it as
 * unresponsive; each further report renews this.
 */
const SUSPICION_TTL_MS = 800;
/**
 * A host to which a larger share of the targets is unresponsive counts as
 * isolated itself.
 */
const MAX_UNRESPONSIVE_SHARE = 0.4;

export interface PeerExchangeOptions {
  readonly link: PeerLink;
  readonly registry: IHostRegistry;
  readonly targets: TargetTable;
  readonly limits: TargetLimits;
  readonly clock: Clock;
  readonly log: ILog;
  /** Whether the store is reachable and this host is not stopping. */
  readonly canLead: () => boolean;
  /** Whether reads of the store's logs succeed and this host is not stopping. */
  readonly canRead: () => boolean;
  readonly slowTargets: () => (readonly [string, number])[];
  readonly quarantine: QuarantineSync;
  readonly eras: EraTracker;
  readonly random: () => number;
  /** Called when the load of the other hosts has been updated. */
  readonly onPeerLoad: () => void;
}

export class PeerExchange {
  readonly #options: PeerExchangeOptions;
  #sequenceNumber = 0;
  #isAnnounced = false;
  #mustAnnounce = true;
  /** Aborts the pause before the next read of the registry. */
  #registryPause = new AbortController();
  #isBroadcastScheduled = false;

  constructor(options: PeerExchangeOptions) {
    this.#options = options;
    options.targets.onChange((target) => {
      if (target.noResponseSinceMs !== undefined) this.scheduleBroadcast();
    });
    options.link.onState((peer) => this.#applyState(peer));
    options.eras.onAdvance(({ from }) => {
      if (from === undefined) return;
      // The copy may lack this host's record.
      this.#mustAnnounce = true;
      this.#registryPause.abort();
      this.scheduleBroadcast();
    });
  }

  /** Whether this host has registered itself. */
  get isAnnounced(): boolean {
    return this.#isAnnounced;
  }

  /** The leader is the oldest live host that can lead; ties are broken by id. */
  isLeader(): boolean {
    const { link, canLead } = this.#options;
    if (!canLead() || !this.#isAnnounced || this.#isIsolated()) return false;
    return link.live().every((peer) =>
      peer.state?.canLead !== true || isBefore(link.host, peer.host)
    );
  }

  /**
   * Returns the oldest host of this failure domain that reads the store;
   * undefined if that is this host or there is none.
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

  /** Broadcasts this host's state periodically until aborted. */
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

  /** Announces this host and reads the registry periodically until aborted. */
  async runRegistry(signal: AbortSignal): Promise<void> {
    const { clock, registry, link, log } = this.#options;
    let readCount = 0;
    while (!signal.aborted) {
      try {
        await this.#announce();
        const snapshot = await registry.list();
        link.addHosts(snapshot.hosts);
        await this.#shareSettledEra(snapshot.settledEra);
        await this.#options.quarantine.synchronize(snapshot.quarantined);
        readCount++;
      } catch (error) {
        log.info("host registry unavailable", { reason: String(error) });
      }
      const isEarly = readCount < INITIAL_REGISTRY_READS;
      const pauseMs = REGISTRY_INTERVAL_MS *
        Math.max(1, (link.live().length + 1) / REGISTRY_SCALING_HOSTS);
      const pause = this.#registryPause = new AbortController();
      await clock.sleep(
        isEarly ? INITIAL_REGISTRY_INTERVAL_MS : pauseMs,
        AbortSignal.any([signal, pause.signal]),
      );
      if (pause.signal.aborted) {
        await clock.sleep(this.#options.random() * ERA_JITTER_MS, signal);
      }
    }
  }

  async #announce(): Promise<void> {
    if (!this.#mustAnnounce) return;
    const { registry, link } = this.#options;
    this.#mustAnnounce = false;
    try {
      await registry.announce(link.host);
      this.#isAnnounced = true;
    } catch (error) {
      this.#mustAnnounce = true;
      throw error;
    }
  }

  /**
   * Keeps the last settled era in the store, so that a fleet that restarts as a
   * whole need not wait for the era to settle.
   */
  async #shareSettledEra(storedEra: number | undefined): Promise<void> {
    const { eras, registry } = this.#options;
    const { current } = eras;
    if (current === undefined) return;
    if (storedEra === current) eras.observeSettled(current, "store");
    else if (eras.isSettled && this.isLeader()) {
      await registry.writeSettledEra(current);
    }
  }

  /**
   * Lets the other hosts learn of an unresponsive target, or of a content that
   * ended one, before the next periodic broadcast.
   */
  scheduleBroadcast(): void {
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
    const unresponsive: string[] = [];
    for (const target of this.#options.targets.all()) {
      const { streams, tokenLayers } = target.ownLoad;
      if (streams > 0) uses.push({ targetId: target.id, streams, tokenLayers });
      if (target.noResponseSinceMs !== undefined) unresponsive.push(target.id);
    }
    return {
      sequenceNumber: ++this.#sequenceNumber,
      uses,
      unresponsiveTargets: this.#isIsolated() ? [] : unresponsive,
      slowTargets: this.isLeader() ? this.#options.slowTargets() : undefined,
      canLead: this.#options.canLead() && !this.#isIsolated(),
      isReader: this.#options.canRead(),
      losses: this.#options.quarantine.lossesToShare(),
      breaks: this.#options.quarantine.breaksToShare(),
      limits: this.#options.limits.entriesToShare(),
      era: this.#options.eras.current,
      isEraSettled: this.#options.eras.isSettled,
    };
  }

  #isIsolated(): boolean {
    const targets = this.#options.targets.all();
    const unresponsive = targets.filter((target) =>
      target.noResponseSinceMs !== undefined
    );
    return unresponsive.length > targets.length * MAX_UNRESPONSIVE_SHARE;
  }

  #applyState({ host, state }: Peer): void {
    if (state === undefined) return;
    const { targets, limits, clock, quarantine, eras } = this.#options;
    if (state.isEraSettled) eras.observeSettled(state.era, host.id);
    else eras.observe(state.era, host.id);
    quarantine.mergeLosses(state.losses, host.id);
    quarantine.mergeBreaks(state.breaks, host.id);
    limits.merge(state.limits, host.id);
    const untilMs = clock.nowMs() + SUSPICION_TTL_MS;
    for (const id of state.unresponsiveTargets) {
      const target = targets.get(id);
      if (target === undefined) continue;
      const wasTrusted = target.isAvailable;
      target.addSuspicion(host.id, untilMs);
      if (wasTrusted && !target.isAvailable) targets.notify(target);
    }
    if (state.slowTargets === undefined) return;
    const slow = new Map(state.slowTargets);
    for (const one of targets.all()) one.slowness = slow.get(one.id) ?? 1;
  }

  #updatePeerUse(): void {
    const { targets, link } = this.#options;
    const sums = new Map<string, Target["peerLoad"]>();
    for (const peer of link.live()) {
      for (const use of peer.state?.uses ?? []) {
        const sum = sums.get(use.targetId) ?? { streams: 0, tokenLayers: 0 };
        sum.streams += use.streams;
        sum.tokenLayers += use.tokenLayers;
        sums.set(use.targetId, sum);
      }
    }
    for (const target of targets.all()) {
      target.peerLoad = sums.get(target.id) ?? { streams: 0, tokenLayers: 0 };
    }
  }
}

function isBefore(a: HostRecord, b: HostRecord): boolean {
  return a.bornMs < b.bornMs || (a.bornMs === b.bornMs && a.id < b.id);
}

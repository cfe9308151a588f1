/**
 * Sends this host's load and unresponsive targets to the other hosts, applies
 * the states and digests received from them, and elects the leader, which places
 * the model, and the hosts that read the store.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { ILog } from "../common/logging.ts";
import type { EraTracker } from "../feeds/era_tracker.ts";
import type { TargetLimits } from "../paths/target_limits.ts";
import type { TargetTable } from "../paths/target_table.ts";
import type { ReceivedDemand } from "../peers/demand_codec.ts";
import type { DomainDigest } from "../peers/domain_digest.ts";
import { FleetView, isBefore, oldest } from "../peers/fleet_view.ts";
import type { Peer, PeerLink } from "../peers/peer_link.ts";
import type { PeerState } from "../peers/peer_state.ts";
import type { IHostRegistry } from "../ports/services.ts";
import type { HostRecord } from "../ports/types.ts";
import type { DemandExchange } from "./demand_exchange.ts";
import { DigestRelay, urgentPart } from "./digest_relay.ts";
import type { QuarantineSync } from "./quarantine_sync.ts";
import { sendIntervalMs } from "./send_interval.ts";
import { applyPeerUses, ownUses } from "./target_loads.ts";

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
/** Longest time between retries; a longer outage is met by all hosts that start in it. */
const MAX_REGISTRY_RETRY_MS = 3_200;
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
/** The same for suspicions in digests, which pass through one or two relays. */
const RELAYED_SUSPICION_TTL_MS = 1_400;
/**
 * A host to which a larger share of the targets is unresponsive is not believed,
 * and neither is one that is cut off from all of them.
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
  /** Whether this host serves requests of hosts that reach no target. */
  readonly acceptsDelegated: () => boolean;
  /** Services from all of whose targets this host is cut off. */
  readonly cutOffServices: () => readonly string[];
  readonly slowTargets: () => (readonly [string, number])[];
  readonly quarantine: QuarantineSync;
  readonly demand: DemandExchange;
  readonly eras: EraTracker;
  readonly random: () => number;
  /** Called when the load of the other hosts has been updated. */
  readonly onPeerLoad: () => void;
}

export class PeerExchange {
  readonly #options: PeerExchangeOptions;
  readonly #view: FleetView;
  readonly #relay: DigestRelay;
  #sequenceNumber = 0;
  #isAnnounced = false;
  #mustAnnounce = true;
  /** Aborts the pause before the next read of the registry. */
  #registryPause = new AbortController();
  #isBroadcastScheduled = false;

  constructor(options: PeerExchangeOptions) {
    this.#options = options;
    const { link, clock } = options;
    this.#view = new FleetView({ link, clock });
    this.#relay = new DigestRelay({
      link,
      clock,
      view: this.#view,
      ownState: () => this.#state(),
    });
    options.targets.onChange((target) => {
      if (target.noResponseSinceMs !== undefined) this.scheduleBroadcast();
    });
    link.onState(({ peer }) => this.#applyState(peer));
    link.onDigest((digest) => this.#applyDigest(digest));
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

  /** Number of live hosts, this one included. */
  get hostCount(): number {
    return this.#view.hostCount();
  }

  /** Other live hosts that serve requests of hosts that reach no target. */
  delegates(service: string): HostRecord[] {
    return this.#view.delegates(service);
  }

  /** Number of live hosts of this failure domain, this one included. */
  get domainHostCount(): number {
    return this.#view.domainHostCount();
  }

  /** Demand at the other hosts, as far as they send it. */
  peerDemands(): ReceivedDemand[] {
    return this.#view.demands();
  }

  /** Ids of the other live hosts. */
  otherHostIds(): string[] {
    return this.#view.otherHostIds();
  }

  /** The leader is the oldest live host that can lead; ties are broken by id. */
  isLeader(): boolean {
    const { link, canLead } = this.#options;
    if (!canLead() || !this.#isAnnounced || this.#isIsolated()) return false;
    return this.#view.leaders().every((host) => isBefore(link.host, host));
  }

  /**
   * Returns the host that reads the store on behalf of this one; undefined if
   * this host reads it itself. It is the oldest reader of this failure domain,
   * or that of the fleet for the oldest of the domain and without one there.
   */
  reader(): HostRecord | undefined {
    const { link, canRead } = this.#options;
    const readers = this.#view.readers();
    if (canRead()) readers.push(link.host);
    const ofDomain = oldest(
      readers.filter(({ domain }) => domain === link.host.domain),
    ).at(0);
    const reader = ofDomain === undefined || ofDomain === link.host
      ? oldest(readers).at(0)
      : ofDomain;
    return reader === link.host ? undefined : reader;
  }

  /** Sends this host's state periodically until aborted. */
  async runSender(signal: AbortSignal): Promise<void> {
    const { clock, onPeerLoad } = this.#options;
    while (!signal.aborted) {
      this.#sendState();
      this.#relay.send();
      this.#updatePeerUse();
      onPeerLoad();
      await clock.sleep(sendIntervalMs(this.hostCount), signal);
    }
  }

  /** Announces this host and reads the registry periodically until aborted. */
  async runRegistry(signal: AbortSignal): Promise<void> {
    const { clock, registry, link, log } = this.#options;
    let readCount = 0;
    let failures = 0;
    while (!signal.aborted) {
      try {
        await this.#announce();
        const snapshot = await registry.list();
        link.addHosts(snapshot.hosts);
        await this.#shareSettledEra(snapshot.settledEra);
        await this.#options.quarantine.synchronize(snapshot.quarantined);
        readCount++;
        failures = 0;
      } catch (error) {
        failures++;
        log.info("host registry unavailable", { reason: String(error) });
      }
      const isEarly = readCount < INITIAL_REGISTRY_READS;
      const pauseMs = REGISTRY_INTERVAL_MS *
        Math.max(1, this.hostCount / REGISTRY_SCALING_HOSTS);
      const earlyPauseMs = Math.min(
        MAX_REGISTRY_RETRY_MS,
        INITIAL_REGISTRY_INTERVAL_MS * 2 ** failures,
      );
      const pause = this.#registryPause = new AbortController();
      await clock.sleep(
        isEarly ? earlyPauseMs : pauseMs,
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
    void this.#options.clock.sleep(BROADCAST_DELAY_MS).then(() => {
      this.#isBroadcastScheduled = false;
      this.#sendState();
      this.#relay.scheduleUrgent();
    });
  }

  /** Sends the state to all hosts or, in a large fleet, to the relays of the domain. */
  #sendState(): void {
    const { link } = this.#options;
    const state = this.#state();
    this.#view.recordSentUses(state.uses);
    if (!this.#view.usesDigests) {
      link.sendState(state, link.known());
      return;
    }
    const { hosts, areKnown } = this.#view.relaysOf(link.host.domain);
    const others = hosts.filter(({ id }) => id !== link.host.id);
    if (!areKnown || this.#view.isRelay()) {
      link.sendState({ ...state, wantsDigests: !areKnown }, others);
      return;
    }
    const source = this.#view.digestSource(others);
    const sources = source === undefined ? others : [source];
    link.sendState(state, sources);
    link.sendState(
      { ...state, wantsDigests: false },
      others.filter((host) => !sources.includes(host)),
    );
  }

  #state(): PeerState {
    const { targets } = this.#options;
    const unresponsive = targets.all()
      .filter(({ noResponseSinceMs }) => noResponseSinceMs !== undefined);
    return {
      sequenceNumber: ++this.#sequenceNumber,
      uses: ownUses(targets),
      unresponsiveTargets: this.#isIsolated()
        ? []
        : unresponsive.map(({ id }) => id),
      slowTargets: this.isLeader() ? this.#options.slowTargets() : undefined,
      canLead: this.#options.canLead() && !this.#isIsolated(),
      isReader: this.#options.canRead(),
      acceptsDelegated: this.#options.acceptsDelegated(),
      cutOffServices: this.#options.cutOffServices(),
      losses: this.#options.quarantine.lossesToShare(),
      breaks: this.#options.quarantine.breaksToShare(),
      limits: this.#options.limits.entriesToShare(),
      era: this.#options.eras.current,
      isEraSettled: this.#options.eras.isSettled,
      wantsDigests: true,
      demand: this.#options.demand.toShare(),
    };
  }

  #isIsolated(): boolean {
    if (this.#options.cutOffServices().length > 0) return true;
    const targets = this.#options.targets.all();
    const unresponsive = targets.filter((target) =>
      target.noResponseSinceMs !== undefined
    );
    return unresponsive.length > targets.length * MAX_UNRESPONSIVE_SHARE;
  }

  #applyState({ host, state }: Peer): void {
    if (state === undefined) return;
    const { limits } = this.#options;
    this.#applyFacts(state, host.id);
    this.#handleDemand(state, host.id);
    limits.merge(state.limits, host.id);
    for (const id of state.unresponsiveTargets) {
      this.#suspect(id, host.id, SUSPICION_TTL_MS);
    }
  }

  #applyDigest(digest: DomainDigest): void {
    const { limits, link } = this.#options;
    const { isNew, previous } = this.#view.receive(digest);
    if (!isNew) return;
    this.#applyFacts(digest, digest.relay.id);
    this.#handleDemand(digest, digest.relay.id);
    for (const { hostId, ...limit } of digest.limits) {
      if (hostId !== link.host.id) limits.merge([limit], hostId);
    }
    for (const { targetId, hostIds } of digest.unresponsiveTargets) {
      for (const hostId of hostIds) {
        if (hostId === link.host.id) continue;
        this.#suspect(targetId, hostId, RELAYED_SUSPICION_TTL_MS);
      }
    }
    if (digest.uses !== undefined) this.#updatePeerUse();
    const isUrgent = urgentPart(digest) !== (previous && urgentPart(previous));
    if (isUrgent) this.#relay.scheduleUrgent();
  }

  #handleDemand(facts: PeerState | DomainDigest, source: string): void {
    const isChanged = this.#options.demand.handleReceived(facts, source);
    if (isChanged) this.#relay.scheduleUrgent();
  }

  /** Applies what states and digests tell alike. */
  #applyFacts(
    facts: Pick<
      PeerState,
      "era" | "isEraSettled" | "losses" | "breaks" | "slowTargets"
    >,
    source: string,
  ): void {
    const { targets, quarantine, eras } = this.#options;
    if (facts.isEraSettled) eras.observeSettled(facts.era, source);
    else eras.observe(facts.era, source);
    quarantine.mergeLosses(facts.losses, source);
    quarantine.mergeBreaks(facts.breaks, source);
    if (facts.slowTargets === undefined) return;
    const slow = new Map(facts.slowTargets);
    for (const one of targets.all()) one.slowness = slow.get(one.id) ?? 1;
  }

  #suspect(targetId: string, hostId: string, forMs: number): void {
    const { targets, clock } = this.#options;
    const target = targets.get(targetId);
    if (target === undefined) return;
    const wasTrusted = target.isAvailable;
    target.addSuspicion(hostId, clock.nowMs() + forMs);
    if (wasTrusted && !target.isAvailable) targets.notify(target);
  }

  #updatePeerUse(): void {
    applyPeerUses(this.#options.targets, this.#view.peerUses());
  }
}

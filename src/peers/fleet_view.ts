/**
 * What this host knows of the other hosts: from the states that it receives
 * itself, and from the digests of failure domains. Of a domain whose hosts do
 * not all send their state here, the digest counts.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { HostRecord } from "../ports/types.ts";
import type { DomainDigest } from "./domain_digest.ts";
import type { Peer, PeerLink } from "./peer_link.ts";
import type { AgedDemand, ReceivedDemand } from "./demand_codec.ts";
import type { PeerUse } from "./peer_state.ts";
import { addUse } from "./use_sums.ts";

/** Relays of a failure domain: its oldest live hosts. */
const RELAYS_PER_DOMAIN = 2;
/** Larger fleets exchange digests instead of the states of all hosts. */
const MAX_DIRECT_HOSTS = 12;
/** A digest that is older no longer counts. */
const DIGEST_TIMEOUT_MS = 2_000;
/** Age of the newest digest at which all relays are asked, as one may be down. */
const DIGEST_OVERDUE_MS = 800;
/** Age of the newest digest at which all relays of a domain count as down. */
const RELAY_TIMEOUT_MS = 1_400;
/**
 * Without a digest, a host that this many others tell of themselves knows
 * whether it is one of the oldest; a host of a small domain knows it after
 * `DISCOVERY_MS`.
 */
const DISCOVERY_HOSTS = 3;
const DISCOVERY_MS = 800;
/**
 * The demand of a host leaves the sums when its last state is older, shortly
 * before the host counts as down, as sums are not made all the time.
 */
const MAX_DEMAND_AGE_MS = 1_400;
/** How long the grouping of hosts by domain is used for further queries. */
const GROUPING_TTL_MS = 20;

export interface FleetViewOptions {
  readonly link: Pick<
    PeerLink,
    "host" | "live" | "known" | "knownCount" | "addLiveHosts" | "onDigest"
  >;
  readonly clock: Clock;
}

/** The newest digest of one relay, completed by what earlier ones carried. */
interface ReceivedDigest {
  readonly digest: DomainDigest;
  readonly receivedMs: number;
  readonly members: readonly HostRecord[];
  readonly uses: readonly PeerUse[];
  /** When a digest with them arrived. */
  readonly usesReceivedMs: number;
  /** Sequence number of that digest. */
  readonly usesSequenceNumber: number;
}

/** The live hosts of a failure domain, and the digest if it describes more of them. */
interface DomainHosts {
  readonly direct: readonly Peer[];
  readonly digest: ReceivedDigest | undefined;
}

export class FleetView {
  readonly #options: FleetViewOptions;
  #grouping: ReadonlyMap<string, DomainHosts> = new Map();
  #groupedMs = -Infinity;
  /** Since when the relays of this host's domain are unknown. */
  #relaysUnknownMs: number | undefined;
  #wasRelay = false;
  /** By id of the relay. */
  readonly #received = new Map<string, ReceivedDigest>();
  #sentUses: readonly PeerUse[] = [];

  constructor(options: FleetViewOptions) {
    this.#options = options;
  }

  /**
   * Takes in a digest. Returns the one that it replaces, or that it would have
   * replaced if it were newer.
   */
  receive(
    digest: DomainDigest,
  ): { readonly isNew: boolean; readonly previous?: DomainDigest } {
    const { link, clock } = this.#options;
    const { relay } = digest;
    const known = this.#received.get(relay.id);
    const previous = known?.digest;
    if (relay.id === link.host.id || !isNewer(digest, known)) {
      return { isNew: false, previous };
    }
    const nowMs = clock.nowMs();
    const hasUses = digest.uses !== undefined;
    this.#received.set(relay.id, {
      digest,
      receivedMs: nowMs,
      members: digest.members ?? known?.members ?? [relay],
      uses: digest.uses ?? known?.uses ?? [],
      usesReceivedMs: hasUses ? nowMs : known?.usesReceivedMs ?? -Infinity,
      usesSequenceNumber: hasUses
        ? digest.sequenceNumber
        : known?.usesSequenceNumber ?? -1,
    });
    this.#groupedMs = -Infinity;
    link.addLiveHosts(digest.members ?? [relay]);
    return { isNew: true, previous };
  }

  /** Whether hosts exchange digests instead of all states. */
  get usesDigests(): boolean {
    // A host that knows only some of the others follows their choice.
    return this.#options.link.knownCount + 1 > MAX_DIRECT_HOSTS ||
      this.#received.size > 0;
  }

  /** Number of live hosts, this one included. */
  hostCount(): number {
    const { link } = this.#options;
    let count = 0;
    for (const { direct, digest } of this.#domains().values()) {
      count += digest?.digest.hostCount ?? direct.length;
    }
    return this.#hasDigestOf(link.host.domain) ? count : count + 1;
  }

  /** Ids of the other live hosts. */
  otherHostIds(): string[] {
    const { link } = this.#options;
    const ids = [...this.#domains().values()].flatMap(({ direct, digest }) =>
      (digest?.members ?? direct.map(({ host }) => host)).map(({ id }) => id)
    );
    return ids.filter((id) => id !== link.host.id);
  }

  /** Number of live hosts of this host's failure domain, this one included. */
  domainHostCount(): number {
    const { direct, digest } =
      this.#domains().get(this.#options.link.host.domain) ?? {};
    return digest?.digest.hostCount ?? (direct?.length ?? 0) + 1;
  }

  /** Other live hosts that serve requests to a service for hosts that cannot. */
  delegates(service: string): HostRecord[] {
    const ownId = this.#options.link.host.id;
    return [...this.#domains().values()].flatMap(({ direct, digest }) => {
      if (digest === undefined) {
        return direct.filter(({ state }) =>
          state?.acceptsDelegated === true &&
          !state.cutOffServices.includes(service)
        ).map(({ host }) => host);
      }
      const { limitedDelegates } = digest.digest;
      if (limitedDelegates === undefined) return [];
      const excluded = new Set([ownId]);
      for (const { hostId, cutOffServices } of limitedDelegates) {
        if (cutOffServices?.includes(service) ?? true) excluded.add(hostId);
      }
      return digest.members.filter(({ id }) => !excluded.has(id));
    });
  }

  /** Other live hosts that can lead; of a domain known by its digest, the oldest. */
  leaders(): HostRecord[] {
    return this.#candidates(
      ({ state }) => state?.canLead === true,
      ({ leader }) => leader,
    );
  }

  /** Other live hosts that read the store; of a domain known by its digest, the oldest. */
  readers(): HostRecord[] {
    return this.#candidates(
      ({ state }) => state?.isReader === true,
      ({ reader }) => reader,
    );
  }

  /** Load of all other hosts, by target. */
  peerUses(): Map<string, PeerUse> {
    const { link } = this.#options;
    const sums = new Map<string, PeerUse>();
    for (const [domain, { direct, digest }] of this.#domains()) {
      const uses = digest?.uses ??
        direct.flatMap(({ state }) => state?.uses ?? []);
      for (const use of uses) addUse(sums, use);
      if (digest === undefined || domain !== link.host.domain) continue;
      for (const own of this.#sentUses) addUse(sums, own, -1);
    }
    return sums;
  }

  /**
   * Demand at the other hosts: of a domain known by its digest, one for the
   * domain, else one for each host. Of hosts that send none, none.
   */
  demands(): ReceivedDemand[] {
    const nowMs = this.#options.clock.nowMs();
    const ownDomain = this.#options.link.host.domain;
    return [...this.#domains()].flatMap(([domain, { direct, digest }]) => {
      if (digest === undefined) {
        return direct.flatMap(({ state, lastReceivedMs }) => {
          const { demand } = state ?? {};
          const ageMs = nowMs - lastReceivedMs;
          if (demand === undefined || ageMs > MAX_DEMAND_AGE_MS) return [];
          return [{ demand, ageMs, includesOwn: false }];
        });
      }
      const demand = agedDemand(digest, nowMs);
      if (demand === undefined) return [];
      return [{ ...demand, includesOwn: domain === ownDomain }];
    });
  }

  /** Records the load that this host told others; digests contain it. */
  recordSentUses(uses: readonly PeerUse[]): void {
    this.#sentUses = uses;
  }

  /** The newest digests of the other domains that are known by digests. */
  foreignDigests(): DomainDigest[] {
    const own = this.#options.link.host.domain;
    return [...this.#domains()].flatMap(([domain, { digest }]) => {
      if (digest === undefined || domain === own) return [];
      const { members, uses } = digest;
      const demand = agedDemand(digest, this.#options.clock.nowMs());
      return [{ ...digest.digest, members, uses, demand }];
    });
  }

  /** Live hosts of this failure domain that are known directly, and this one. */
  directDomainHosts(): HostRecord[] {
    const { link } = this.#options;
    const hosts = link.live().map(({ host }) => host)
      .filter(({ domain }) => domain === link.host.domain);
    return [link.host, ...hosts];
  }

  /**
   * The hosts of a failure domain to which states and digests go: its relays,
   * or all known hosts while it is not known which of them are live.
   */
  relaysOf(
    domain: string,
  ): { readonly hosts: readonly HostRecord[]; readonly areKnown: boolean } {
    const { link } = this.#options;
    const isOwn = domain === link.host.domain;
    const digest = this.#freshDigest(domain);
    const ageMs = this.#options.clock.nowMs() - (digest?.receivedMs ?? 0);
    if (digest !== undefined && ageMs < RELAY_TIMEOUT_MS) {
      const hosts = oldest(digest.members).map((host) =>
        host.id === link.host.id ? link.host : host
      );
      return { hosts, areKnown: true };
    }
    const known = link.known().filter((host) => host.domain === domain);
    return { hosts: isOwn ? [link.host, ...known] : known, areKnown: false };
  }

  /**
   * Which of the relays sends digests to this host: the oldest that does;
   * undefined if all are to, since none does.
   */
  digestSource(relays: readonly HostRecord[]): HostRecord | undefined {
    const sinceMs = this.#options.clock.nowMs() - DIGEST_OVERDUE_MS;
    const sources = relays.filter(({ id }) =>
      (this.#received.get(id)?.receivedMs ?? -Infinity) > sinceMs
    );
    return oldest(sources).at(0);
  }

  /** Whether this host is one of the relays of its failure domain. */
  isRelay(): boolean {
    const { link, clock } = this.#options;
    const { hosts, areKnown } = this.relaysOf(link.host.domain);
    if (areKnown) {
      this.#relaysUnknownMs = undefined;
      this.#wasRelay = hosts.includes(link.host);
      return this.#wasRelay;
    }
    const direct = this.directDomainHosts();
    this.#relaysUnknownMs ??= clock.nowMs();
    const isDiscovered = this.#wasRelay || direct.length > DISCOVERY_HOSTS ||
      clock.nowMs() - this.#relaysUnknownMs >= DISCOVERY_MS;
    return isDiscovered && oldest(direct).includes(link.host);
  }

  #hasDigestOf(domain: string): boolean {
    return this.#domains().get(domain)?.digest !== undefined;
  }

  #candidates(
    isCandidate: (peer: Peer) => boolean,
    ofDigest: (digest: DomainDigest) => HostRecord | undefined,
  ): HostRecord[] {
    const ownId = this.#options.link.host.id;
    return [...this.#domains().values()].flatMap(({ direct, digest }) =>
      digest === undefined
        ? direct.filter(isCandidate).map(({ host }) => host)
        : ofDigest(digest.digest) ?? []
    ).filter(({ id }) => id !== ownId);
  }

  /** Live hosts by failure domain. */
  #domains(): ReadonlyMap<string, DomainHosts> {
    const nowMs = this.#options.clock.nowMs();
    if (nowMs - this.#groupedMs >= GROUPING_TTL_MS) {
      this.#grouping = this.#group();
      this.#groupedMs = nowMs;
    }
    return this.#grouping;
  }

  #group(): Map<string, DomainHosts> {
    const { link } = this.#options;
    const direct = new Map<string, Peer[]>();
    for (const peer of link.live()) {
      const peers = direct.get(peer.host.domain);
      if (peers === undefined) direct.set(peer.host.domain, [peer]);
      else peers.push(peer);
    }
    const domains = new Map<string, DomainHosts>();
    const digested = [...this.#received.values()].map(({ digest }) =>
      digest.relay.domain
    );
    for (const domain of new Set([...direct.keys(), ...digested])) {
      const peers = direct.get(domain) ?? [];
      const ownCount = domain === link.host.domain ? 1 : 0;
      const newest = this.#freshDigest(domain);
      const isFuller = newest !== undefined &&
        newest.digest.hostCount > peers.length + ownCount;
      if (peers.length === 0 && !isFuller) continue;
      domains.set(domain, {
        direct: peers,
        digest: isFuller ? newest : undefined,
      });
    }
    return domains;
  }

  /** The most complete digest of a domain that is not too old; if equal, that of the newest loads. */
  #freshDigest(domain: string): ReceivedDigest | undefined {
    const sinceMs = this.#options.clock.nowMs() - DIGEST_TIMEOUT_MS;
    let best: ReceivedDigest | undefined;
    for (const [id, one] of this.#received) {
      if (one.receivedMs < sinceMs) {
        this.#received.delete(id);
        continue;
      }
      if (one.digest.relay.domain !== domain) continue;
      const isBetter = best === undefined ||
        one.digest.hostCount > best.digest.hostCount ||
        (one.digest.hostCount === best.digest.hostCount &&
          one.usesReceivedMs > best.usesReceivedMs);
      if (isBetter) best = one;
    }
    return best;
  }
}

/** The demand of a digest with its age now. */
function agedDemand(
  { digest: { demand }, receivedMs }: ReceivedDigest,
  nowMs: number,
): AgedDemand | undefined {
  return demand && { ...demand, ageMs: demand.ageMs + nowMs - receivedMs };
}

/** Whether a digest tells more than what is known of its relay. */
function isNewer(
  { relay, sequenceNumber, uses }: DomainDigest,
  known: ReceivedDigest | undefined,
): boolean {
  if (known === undefined) return true;
  const { digest, usesSequenceNumber } = known;
  if (relay.bornMs !== digest.relay.bornMs) {
    return relay.bornMs > digest.relay.bornMs;
  }
  // It may have come without its loads before.
  return sequenceNumber > digest.sequenceNumber ||
    (sequenceNumber === digest.sequenceNumber && uses !== undefined &&
      usesSequenceNumber < sequenceNumber);
}

/** Whether a host started before another; ties are broken by id. */
export function isBefore(a: HostRecord, b: HostRecord): boolean {
  return a.bornMs < b.bornMs || (a.bornMs === b.bornMs && a.id < b.id);
}

/** The oldest hosts, as many as a failure domain has relays, the oldest first. */
export function oldest(hosts: readonly HostRecord[]): HostRecord[] {
  return [...hosts].sort((a, b) => isBefore(a, b) ? -1 : 1)
    .slice(0, RELAYS_PER_DOMAIN);
}

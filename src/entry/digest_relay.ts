/**
 * The relay of a failure domain: sums up the states of its hosts in a digest,
 * which the relays of the other domains receive, and passes their digests on to
 * the hosts of its own. What cannot wait goes out at once, without the loads.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { rendezvousRank } from "../common/hash.ts";
import type {
  DomainDigest,
  HostLimit,
  LimitedDelegate,
  UnresponsiveTarget,
} from "../peers/domain_digest.ts";
import { type FleetView, isBefore } from "../peers/fleet_view.ts";
import type { Peer, PeerLink } from "../peers/peer_link.ts";
import { sumDemand } from "../peers/demand_codec.ts";
import type { PeerState, PeerUse } from "../peers/peer_state.ts";
import { addUse } from "../peers/use_sums.ts";
import type { HostRecord } from "../ports/types.ts";

/** Urgent changes within this time share a digest. */
const URGENT_DELAY_MS = 10;
/** Least time between two digests for urgent changes. */
const URGENT_INTERVAL_MS = 50;
/** Every so many digests the live hosts are listed, and whenever they change. */
const MEMBERS_EVERY = 5;
/** Every so many digests, the loads of the other domains are passed on. */
const FOREIGN_LOADS_EVERY = 2;
/** Hosts named for each unresponsive target; two convince any host. */
const MAX_NAMED_HOSTS = 3;

export interface DigestRelayOptions {
  readonly link: PeerLink;
  readonly view: FleetView;
  readonly clock: Clock;
  /** The state of this host, which is one of the domain. */
  readonly ownState: () => PeerState;
}

export class DigestRelay {
  readonly #options: DigestRelayOptions;
  #sequenceNumber = 0;
  #listedMembers = "";
  #sinceListed = 0;
  #sinceForeignLoads = 0;
  #urgentMs = -Infinity;
  #isUrgentScheduled = false;

  constructor(options: DigestRelayOptions) {
    this.#options = options;
    options.link.onState(({ peer, previous }) => {
      const isUrgent = peer.state !== undefined &&
        urgentPart(peer.state) !== (previous && urgentPart(previous));
      if (isUrgent) this.scheduleUrgent();
    });
  }

  /** Sends the digests of all domains, if this host is a relay. */
  send(): void {
    if (!this.#isRelay()) return;
    const members = this.#membersToList();
    const passesLoads = ++this.#sinceForeignLoads >= FOREIGN_LOADS_EVERY;
    if (passesLoads) this.#sinceForeignLoads = 0;
    this.#send({ ...this.#digest(), members }, passesLoads);
  }

  /** Sends what has changed within some milliseconds, if this host is a relay. */
  scheduleUrgent(): void {
    if (this.#isUrgentScheduled || !this.#isRelay()) return;
    this.#isUrgentScheduled = true;
    const { clock } = this.#options;
    const waitMs = Math.max(
      URGENT_DELAY_MS,
      this.#urgentMs + URGENT_INTERVAL_MS - clock.nowMs(),
    );
    void clock.sleep(waitMs).then(() => {
      this.#isUrgentScheduled = false;
      this.#urgentMs = clock.nowMs();
      this.#send({ ...this.#digest(), uses: undefined }, false);
    });
  }

  #isRelay(): boolean {
    const { view } = this.#options;
    return view.usesDigests && view.isRelay();
  }

  #send(own: DomainDigest, passesLoads: boolean): void {
    const { link, view } = this.#options;
    const { domain, id } = link.host;
    const domains = new Set(link.known().map((host) => host.domain));
    domains.delete(domain);
    const otherRelays = [...domains, domain]
      .flatMap((one) => view.relaysOf(one).hosts)
      .filter((host) => host.id !== id);
    link.sendDigests([own], otherRelays);
    const receivers = link.live().filter(({ host, state }) =>
      host.domain === domain && state?.wantsDigests === true
    ).map(({ host }) => host);
    const foreign = view.foreignDigests().map((digest) =>
      passesLoads ? digest : { ...digest, uses: undefined, members: undefined }
    );
    link.sendDigests([own, ...foreign], receivers);
  }

  #digest(): DomainDigest {
    const { link, ownState, clock } = this.#options;
    const peers = link.live().filter(({ host }) =>
      host.domain === link.host.domain
    );
    const own = { host: link.host, state: ownState(), lastReceivedMs: NaN };
    const states = [own, ...peers].flatMap(({ host, state }) =>
      state === undefined ? [] : [{ host, state }]
    );
    return {
      relay: link.host,
      sequenceNumber: ++this.#sequenceNumber,
      hostCount: states.length,
      members: undefined,
      leader: oldestOf(states, ({ canLead }) => canLead),
      reader: oldestOf(states, ({ isReader }) => isReader),
      limitedDelegates: states.flatMap(limitedDelegate),
      uses: sumUses(states),
      unresponsiveTargets: mergeUnresponsive(states),
      slowTargets: states.find(({ state }) => state.slowTargets !== undefined)
        ?.state.slowTargets,
      losses: own.state.losses,
      breaks: own.state.breaks,
      limits: mergeLimits(own, peers, clock.nowMs()),
      era: own.state.era,
      isEraSettled: own.state.isEraSettled,
      demand: {
        demand: sumDemand(states.map(({ state }) => state.demand ?? [])),
        ageMs: 0,
      },
    };
  }

  #membersToList(): HostRecord[] | undefined {
    const members = this.#options.view.directDomainHosts();
    const listed = members.map(({ id, bornMs }) => `${id} ${bornMs}`).sort()
      .join();
    const isDue = listed !== this.#listedMembers ||
      ++this.#sinceListed >= MEMBERS_EVERY;
    if (!isDue) return undefined;
    this.#listedMembers = listed;
    this.#sinceListed = 0;
    return members;
  }
}

/** What the other hosts are to know before the next periodic digest. */
export function urgentPart(
  facts:
    & Pick<
      PeerState | DomainDigest,
      "unresponsiveTargets" | "losses" | "breaks" | "limits" | "era"
    >
    & Partial<
      Pick<
        PeerState & DomainDigest,
        "acceptsDelegated" | "cutOffServices" | "limitedDelegates"
      >
    >
    & { readonly isEraSettled: boolean },
): string {
  const { unresponsiveTargets, losses, breaks, limits, era, isEraSettled } =
    facts;
  const named = limits.map(({ targetId, limitPerS }) => [targetId, limitPerS]);
  return JSON.stringify([
    unresponsiveTargets,
    losses,
    breaks,
    named,
    era,
    isEraSettled,
    facts.acceptsDelegated,
    facts.cutOffServices,
    facts.limitedDelegates,
  ]);
}

interface HostState {
  readonly host: HostRecord;
  readonly state: PeerState;
}

function oldestOf(
  states: readonly HostState[],
  isCandidate: (state: PeerState) => boolean,
): HostRecord | undefined {
  let oldest: HostRecord | undefined;
  for (const { host, state } of states) {
    if (!isCandidate(state)) continue;
    if (oldest === undefined || isBefore(host, oldest)) oldest = host;
  }
  return oldest;
}

function limitedDelegate(
  { host: { id: hostId }, state }: HostState,
): LimitedDelegate[] {
  const { acceptsDelegated, cutOffServices } = state;
  if (!acceptsDelegated) return [{ hostId, cutOffServices: undefined }];
  return cutOffServices.length === 0 ? [] : [{ hostId, cutOffServices }];
}

function sumUses(states: readonly HostState[]): PeerUse[] {
  const sums = new Map<string, PeerUse>();
  for (const { state } of states) {
    for (const use of state.uses) addUse(sums, use);
  }
  return [...sums.values()];
}

function mergeUnresponsive(states: readonly HostState[]): UnresponsiveTarget[] {
  const hostIds = new Map<string, string[]>();
  for (const { host, state } of states) {
    for (const targetId of state.unresponsiveTargets) {
      const ids = hostIds.get(targetId) ?? [];
      ids.push(host.id);
      hostIds.set(targetId, ids);
    }
  }
  return [...hostIds].map(([targetId, ids]) => ({
    targetId,
    // First those that probe the target for all hosts, see `probe_schedule.ts`.
    hostIds: rendezvousRank(targetId, ids).slice(0, MAX_NAMED_HOSTS),
  }));
}

/** The newest word on each limit, and the sends of every host that sent there. */
function mergeLimits(
  own: HostState,
  peers: readonly Peer[],
  nowMs: number,
): HostLimit[] {
  const limits = own.state.limits.map((limit) => ({
    ...limit,
    hostId: own.host.id,
  }));
  for (const { host, state, lastReceivedMs } of peers) {
    for (const limit of state?.limits ?? []) {
      // This host has merged the limit itself.
      if (limit.recentSends === 0) continue;
      const ageMs = limit.ageMs + nowMs - lastReceivedMs;
      limits.push({ ...limit, ageMs, hostId: host.id });
    }
  }
  return limits;
}

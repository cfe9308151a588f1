/**
 * Which other hosts report a target as unresponsive at present. Unlike a
 * suspicion, which outlasts the report by its time to live, a report ends with
 * the next state or digest that does not repeat it.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { DomainDigest } from "../peers/domain_digest.ts";
import type { PeerLink } from "../peers/peer_link.ts";

/** Longer than a silent host or relay counts as live. */
const RETENTION_MS = 2_500;

export interface UnresponsiveReportsOptions {
  readonly link: Pick<PeerLink, "onState" | "onDigest">;
  readonly clock: Clock;
}

interface HostReport {
  readonly receivedMs: number;
  readonly targetIds: readonly string[];
}

interface DomainReport {
  readonly receivedMs: number;
  readonly hostCount: number;
  /** Named when `hostCount` hosts were live. */
  readonly counted: DomainDigest["unresponsiveTargets"];
  readonly targets: DomainDigest["unresponsiveTargets"];
}

export class UnresponsiveReports {
  readonly #clock: Clock;
  readonly #byHost = new Map<string, HostReport>();
  /** From the newest digest of any relay: a host may no longer hear from one. */
  readonly #byDomain = new Map<string, DomainReport>();
  readonly #newestDigests = new Map<string, DomainDigest>();

  constructor({ link, clock }: UnresponsiveReportsOptions) {
    this.#clock = clock;
    link.onState(({ peer: { host, state } }) => {
      if (state !== undefined) this.#put(host.id, state.unresponsiveTargets);
    });
    link.onDigest((digest) => this.#putDigest(digest));
  }

  /**
   * Whether a host reports a target. Its own state counts for more than the
   * digests, which are older.
   */
  has(hostId: string, targetId: string): boolean {
    const sinceMs = this.#clock.nowMs() - RETENTION_MS;
    const own = this.#byHost.get(hostId);
    if (own !== undefined && own.receivedMs >= sinceMs) {
      return own.targetIds.includes(targetId);
    }
    for (const { receivedMs, targets } of this.#byDomain.values()) {
      if (receivedMs < sinceMs) continue;
      const isNamed = targets.some((one) =>
        one.targetId === targetId && one.hostIds.includes(hostId)
      );
      if (isNamed) return true;
    }
    return false;
  }

  #put(hostId: string, targetIds: readonly string[]): void {
    const receivedMs = this.#clock.nowMs();
    this.#byHost.set(hostId, { receivedMs, targetIds });
    this.#expire(receivedMs);
  }

  /**
   * A digest of fewer hosts than before does not name the reports of those that
   * left. They end with the list of members, so that a selected host that is
   * down is not taken for one that reaches the target.
   */
  #putDigest(digest: DomainDigest): void {
    const { relay, sequenceNumber, hostCount, members } = digest;
    const { unresponsiveTargets: targets } = digest;
    const newest = this.#newestDigests.get(relay.id);
    const isOutdated = newest !== undefined &&
      (newest.relay.bornMs > relay.bornMs ||
        (newest.relay.bornMs === relay.bornMs &&
          newest.sequenceNumber >= sequenceNumber));
    if (isOutdated) return;
    this.#newestDigests.set(relay.id, digest);
    const receivedMs = this.#clock.nowMs();
    const known = this.#byDomain.get(relay.domain);
    if (
      known === undefined || members !== undefined ||
      hostCount >= known.hostCount
    ) {
      const counted = targets;
      this.#byDomain.set(relay.domain, {
        receivedMs,
        hostCount,
        counted,
        targets,
      });
      return;
    }
    this.#byDomain.set(relay.domain, {
      ...known,
      receivedMs,
      targets: [...targets, ...known.counted],
    });
  }

  #expire(nowMs: number): void {
    for (const [id, { receivedMs }] of this.#byHost) {
      if (receivedMs < nowMs - RETENTION_MS) this.#byHost.delete(id);
    }
  }
}

/**
 * Keeps the requests of all hosts to a target within the limit that the target
 * names. A few hosts, chosen alike by every host, share the limit; what each host
 * sent lately is known to the others, also from before the limit was named. A
 * target that asks this host for a pause gets nothing from it until then.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { Emitter, type Event } from "../common/emitter.ts";
import { rendezvousRank } from "../common/hash.ts";
import type { ILog } from "../common/logging.ts";
import type { SharedLimit } from "../ports/types.ts";
import type { TargetTable } from "./target_table.ts";

/** Span of time over which the requests to a target are counted. */
const WINDOW_MS = 4_000;
/**
 * A limit that no response has confirmed for this long is forgotten: hosts
 * without a share of it cannot learn that it was withdrawn.
 */
const LIMIT_TTL_MS = 30_000;
/** Age of the last response from which another one is due. */
const RENEW_AFTER_MS = 1_000;

/** A response of a target, with or without a limit. */
export interface LimitObservation {
  /** Requests a second from all hosts together; undefined if none is named. */
  readonly limitPerS: number | undefined;
  /** When the request was sent. */
  readonly sentMs: number;
  /** Whether a response without a limit shows that the target has none. */
  readonly mayWithdraw: boolean;
}

export interface TargetLimitsOptions {
  readonly clock: Clock;
  readonly log: ILog;
  readonly targets: TargetTable;
  readonly hostId: string;
  /** Ids of the other hosts that are live. */
  readonly otherHosts: () => readonly string[];
}

interface Limit {
  /** Undefined once the target has withdrawn it. */
  readonly limitPerS: number | undefined;
  readonly observedMs: number;
  /** Start time of the target's process; a restarted one has named no limit. */
  readonly bornMs: number;
}

interface Pause {
  readonly untilMs: number;
  /** Start time of the process that asked for it. */
  readonly bornMs: number;
}

interface PeerSends {
  readonly count: number;
  readonly atMs: number;
}

export class TargetLimits {
  readonly #options: TargetLimitsOptions;
  readonly #limits = new Map<string, Limit>();
  /** Times of this host's sends in the window, oldest first, by target. */
  readonly #sentAtMs = new Map<string, number[]>();
  /** Sends of the other hosts to limited targets, by target and host. */
  readonly #peerSends = new Map<string, Map<string, PeerSends>>();
  /** Pauses that targets asked for; they outlast a lapse of the record. */
  readonly #pauses = new Map<string, Pause>();
  readonly #onChange = new Emitter<string>();

  /** Fires with the id of a target whose limit was named, changed or withdrawn. */
  readonly onChange: Event<string> = this.#onChange.event;

  constructor(options: TargetLimitsOptions) {
    this.#options = options;
    options.targets.onChange(({ id, isRemoved, record }) => {
      const isRestarted = this.#limits.get(id)?.bornMs !== record.bornMs;
      if (isRemoved || isRestarted) this.#forget(id);
      if (this.#isLaterProcess(id, record.bornMs)) this.#pauses.delete(id);
      if (isRemoved) this.#sentAtMs.delete(id);
    });
  }

  /** Number of targets that name a limit. */
  get limitedCount(): number {
    return [...this.#limits.keys()].filter((id) =>
      this.#limitPerS(id) !== undefined
    ).length;
  }

  /** Time until the end of the pause that the target asked for; 0 if none. */
  pausedForMs(targetId: string): number {
    const untilMs = this.#pauses.get(targetId)?.untilMs ?? -Infinity;
    return Math.max(0, untilMs - this.#options.clock.nowMs());
  }

  /** Records that a target asked for a pause when it rejected a request. */
  pause(targetId: string, forMs: number): void {
    const { clock, targets, log } = this.#options;
    const nowMs = clock.nowMs();
    for (const [id, { untilMs }] of this.#pauses) {
      if (untilMs <= nowMs) this.#pauses.delete(id);
    }
    const bornMs = targets.get(targetId)?.record.bornMs ?? 0;
    const untilMs = nowMs + forMs;
    if (untilMs <= (this.#pauses.get(targetId)?.untilMs ?? nowMs)) return;
    this.#pauses.set(targetId, { untilMs, bornMs });
    log.info("target paused", { target: targetId, forMs: Math.round(forMs) });
  }

  #isLaterProcess(targetId: string, bornMs: number): boolean {
    return bornMs > (this.#pauses.get(targetId)?.bornMs ?? Infinity);
  }

  /** Whether a request may be sent now. */
  canSend(targetId: string): boolean {
    if (this.pausedForMs(targetId) > 0) return false;
    const limitPerS = this.#limitPerS(targetId);
    if (limitPerS === undefined) return true;
    if (limitPerS === 0) return false;
    const share = this.#share(targetId, limitPerS);
    if (share === 0) return false;
    const nowMs = this.#options.clock.nowMs();
    const sends = this.#sendsInWindow(targetId);
    const lastMs = sends.at(-1) ?? -Infinity;
    if (nowMs - lastMs < 1_000 / share) return false;
    const maxSends = Math.max(1, limitPerS * WINDOW_MS / 1_000);
    return sends.length + this.#peerSendsInWindow(targetId) + 1 <= maxSends;
  }

  /**
   * Whether a request would show if the target still has its limit, which no
   * response has done lately.
   */
  isRenewalDue(targetId: string): boolean {
    const limit = this.#limits.get(targetId);
    if (limit?.limitPerS === undefined) return false;
    const ageMs = this.#options.clock.nowMs() - limit.observedMs;
    return ageMs >= RENEW_AFTER_MS && this.canSend(targetId);
  }

  /** Records a request that is sent now, unless the limit forbids it. */
  tryAcquire(targetId: string): boolean {
    if (!this.canSend(targetId)) return false;
    this.recordSend(targetId);
    return true;
  }

  /** Records a request that is sent whatever the limit. */
  recordSend(targetId: string): void {
    const sends = this.#sendsInWindow(targetId);
    sends.push(this.#options.clock.nowMs());
    this.#sentAtMs.set(targetId, sends);
  }

  /** Learns from a response of a target. */
  observe(
    targetId: string,
    { limitPerS, sentMs, mayWithdraw }: LimitObservation,
  ): void {
    if (limitPerS === undefined) {
      const known = this.#limits.get(targetId);
      const isNamed = known?.limitPerS !== undefined;
      // The target may have named the limit after it sent this response.
      if (!mayWithdraw || !isNamed || sentMs <= known.observedMs) return;
    }
    const observedMs = this.#options.clock.nowMs();
    this.#put(targetId, { limitPerS, observedMs }, "response");
  }

  /** Learns from another host. */
  merge(entries: readonly SharedLimit[], host: string): void {
    const nowMs = this.#options.clock.nowMs();
    for (const { targetId, limitPerS, ageMs, recentSends } of entries) {
      if (this.#options.targets.get(targetId) === undefined) continue;
      const peers = this.#peerSends.get(targetId) ?? new Map();
      peers.set(host, { count: recentSends, atMs: nowMs });
      this.#peerSends.set(targetId, peers);
      const known = this.#limits.get(targetId);
      const observedMs = nowMs - ageMs;
      if (known !== undefined && known.observedMs >= observedMs) continue;
      this.#put(targetId, { limitPerS, observedMs }, host);
    }
  }

  entriesToShare(): SharedLimit[] {
    const nowMs = this.#options.clock.nowMs();
    this.#expire(nowMs);
    return [...this.#limits].map(([targetId, { limitPerS, observedMs }]) => ({
      targetId,
      limitPerS,
      ageMs: nowMs - observedMs,
      recentSends: this.#sendsInWindow(targetId).length,
    }));
  }

  #put(
    targetId: string,
    observed: Pick<Limit, "limitPerS" | "observedMs">,
    source: string,
  ): void {
    const target = this.#options.targets.get(targetId);
    if (target === undefined) return;
    const { bornMs } = target.record;
    const before = this.#limitPerS(targetId);
    this.#limits.set(targetId, { ...observed, bornMs });
    const after = this.#limitPerS(targetId);
    if (before === after) return;
    const event = after === undefined
      ? "target limit withdrawn"
      : "target limit named";
    this.#options.log.info(event, {
      target: targetId,
      limitPerS: after ?? before,
      source,
      recentSends: this.#sendsInWindow(targetId).length,
    });
    this.#onChange.fire(targetId);
  }

  #limitPerS(targetId: string): number | undefined {
    const limit = this.#limits.get(targetId);
    const ageMs = this.#options.clock.nowMs() - (limit?.observedMs ?? 0);
    return ageMs < LIMIT_TTL_MS ? limit?.limitPerS : undefined;
  }

  /** This host's part of the limit in requests a second; 0 if it has none. */
  #share(targetId: string, limitPerS: number): number {
    const { hostId, otherHosts } = this.#options;
    const ranked = rendezvousRank(targetId, [hostId, ...otherHosts()]);
    const sharers = Math.max(1, Math.floor(limitPerS));
    if (!ranked.slice(0, sharers).includes(hostId)) return 0;
    return limitPerS / Math.min(sharers, ranked.length);
  }

  #sendsInWindow(targetId: string): number[] {
    const fromMs = this.#options.clock.nowMs() - WINDOW_MS;
    const sends = this.#sentAtMs.get(targetId) ?? [];
    const firstRecent = sends.findIndex((atMs) => atMs > fromMs);
    sends.splice(0, firstRecent < 0 ? sends.length : firstRecent);
    return sends;
  }

  #peerSendsInWindow(targetId: string): number {
    const fromMs = this.#options.clock.nowMs() - WINDOW_MS;
    let sum = 0;
    for (
      const { count, atMs } of this.#peerSends.get(targetId)?.values() ?? []
    ) {
      if (atMs > fromMs) sum += count;
    }
    return sum;
  }

  #expire(nowMs: number): void {
    for (const [id, { observedMs }] of this.#limits) {
      if (nowMs - observedMs >= LIMIT_TTL_MS) this.#forget(id);
    }
  }

  #forget(targetId: string): void {
    this.#limits.delete(targetId);
    this.#peerSends.delete(targetId);
  }
}

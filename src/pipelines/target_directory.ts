/**
 * Holds what this host knows of each target: its last published state, whether
 * it is leaving, and whether it is suspect or lost. The earliest notice of
 * leaving takes effect, from any source, and is published to the other hosts.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { systemClock } from "../common/clock.ts";
import { Emitter } from "../common/emitter.ts";
import { type Disposable, DisposableStore } from "../common/lifecycle.ts";
import type { IConfigService } from "../config/services.ts";
import type { Fact, IDissemination } from "../fleet/services.ts";
import type { EngineState } from "../clients/types.ts";
import type { ITargetDirectory } from "./services.ts";

/** Time for which a peer's leaving notice is valid after its last repetition. */
const PEER_NOTICE_TTL_MS = 30_000;
/** Notices within one period are the same fact, regardless of the publishing host. */
const NOTICE_PERIOD_MS = 10_000;
/** Minimum time between two facts that a target is unresponsive. */
const UNRESPONSIVE_REPEAT_MS = 5_000;
/** Time for which a fact about a target is forwarded to joining hosts. */
const TARGET_FACT_TTL_MS = 120_000;

/** Origin of a leaving notice. */
export type LeavingSource = Parameters<ITargetDirectory["markLeaving"]>[1];

export interface TargetDirectoryOptions {
  readonly config: IConfigService;
  /** If absent, nothing is published to other hosts. */
  readonly dissemination?: IDissemination;
  readonly clock?: Clock;
  readonly peerNoticeTtlMs?: number;
  /** Whether this host publishes the states that it reads of a target; true by default. */
  readonly publishesState?: (target: string) => boolean;
}

interface TargetEntry {
  state?: EngineState;
  /** Sequence of the last `isSilent` fact received or published. */
  unresponsiveSequence: number;
  /** When a host read the state, on that host's clock. */
  readAtWallMs: number;
  /** When the target began to offer its current state, or returned after a loss. */
  offerSinceMs: number;
  isSuspect: boolean;
  /** Since when the target has been unresponsive; undefined while it answers. */
  unresponsiveSinceMs?: number;
  isLost: boolean;
  /** Sources whose leaving notice holds until the same source withdraws it. */
  readonly leavingSources: Set<LeavingSource>;
  peerNoticeUntilMs: number;
  /** Period of the last notice received or published. */
  noticePeriod: number;
}

/** Payload of a `target` fact. */
interface TargetFact {
  readonly state?: EngineState;
  /** The target did not answer the publishing host. */
  readonly isSilent?: boolean;
}

/** Each daemon has one instance. */
export class TargetDirectory implements ITargetDirectory, Disposable {
  readonly #config: IConfigService;
  readonly #dissemination: IDissemination | undefined;
  readonly #clock: Clock;
  readonly #peerNoticeTtlMs: number;
  readonly #publishesState: (target: string) => boolean;
  readonly #entries = new Map<string, TargetEntry>();
  /** Targets whose leaving notice this host received from a source other than peers. */
  readonly #leaving = new Set<string>();
  /** Targets with a leaving notice from peers. */
  readonly #leavingByPeers = new Set<string>();
  /** Targets that are suspect or lost. */
  readonly #unresponsive = new Set<string>();
  readonly #store = new DisposableStore();
  readonly #changed = this.#store.add(new Emitter<string>());
  readonly onChange = this.#changed.event;
  readonly #published = this.#store.add(new Emitter<EngineState>());
  /** Fires for each state that this host reads, changed or not. */
  readonly onState = this.#published.event;
  readonly #checkRequested = this.#store.add(new Emitter<string>());
  /** Fires for a target whose state must be read again immediately. */
  readonly onCheckRequested = this.#checkRequested.event;

  constructor(options: TargetDirectoryOptions) {
    this.#config = options.config;
    this.#dissemination = options.dissemination;
    this.#clock = options.clock ?? systemClock;
    this.#peerNoticeTtlMs = options.peerNoticeTtlMs ?? PEER_NOTICE_TTL_MS;
    this.#publishesState = options.publishesState ?? (() => true);
    this.#store.add(
      this.#config.onChange(({ config }) =>
        this.#removeUnconfigured(config.targets)
      ),
    );
    if (this.#dissemination) {
      this.#store.add(
        this.#dissemination.onFact((fact) => this.#handleFact(fact)),
      );
    }
  }

  engineState(target: string): EngineState | undefined {
    const entry = this.#entries.get(target);
    return entry?.isLost ? undefined : entry?.state;
  }

  /** The last published state, even if the target is unresponsive. */
  lastState(target: string): EngineState | undefined {
    return this.#entries.get(target)?.state;
  }

  acceptsNewWork(target: string): boolean {
    if (this.isLeaving(target)) return false;
    const entry = this.#entries.get(target);
    return !entry || (!entry.isLost && !entry.isSuspect);
  }

  /** Whether any leaving notice holds, including an operator's drain. */
  isLeaving(target: string): boolean {
    if (this.#config.state.config.targets[target]?.draining) return true;
    const entry = this.#entries.get(target);
    if (!entry) return false;
    return entry.leavingSources.size > 0 ||
      entry.peerNoticeUntilMs > this.#clock.nowMs();
  }

  /** Time for which the target's offer has been unchanged, as known to this host. */
  offerAgeMs(target: string): number {
    const entry = this.#entries.get(target);
    return entry?.state ? this.#clock.nowMs() - entry.offerSinceMs : 0;
  }

  /** Time for which the target has been unresponsive; 0 if it answers. */
  unresponsiveForMs(target: string): number {
    const sinceMs = this.#entries.get(target)?.unresponsiveSinceMs;
    return sinceMs === undefined ? 0 : this.#clock.nowMs() - sinceMs;
  }

  /** Configured targets that are suspect or lost. */
  unresponsiveTargets(): string[] {
    return [...this.#unresponsive];
  }

  markLeaving(target: string, source: LeavingSource): void {
    const wasLeaving = this.isLeaving(target);
    const entry = this.#entry(target);
    if (source === "peer") {
      entry.peerNoticeUntilMs = this.#clock.nowMs() + this.#peerNoticeTtlMs;
      this.#leavingByPeers.add(target);
    } else {
      entry.leavingSources.add(source);
      this.#leaving.add(target);
      this.#publishLeaving(target, entry);
    }
    if (!wasLeaving) this.#changed.fire(target);
  }

  /** Withdraws a leaving notice; those of other sources still hold. */
  clearLeaving(target: string, source: LeavingSource): void {
    const entry = this.#entries.get(target);
    if (!entry?.leavingSources.delete(source)) return;
    if (entry.leavingSources.size === 0) this.#leaving.delete(target);
    if (!this.isLeaving(target)) this.#changed.fire(target);
  }

  /**
   * Republishes this host's notices that still hold and drops peers' notices
   * that have expired. Must be called about once per second.
   */
  refreshNotices(): void {
    for (const target of this.#leavingByPeers) {
      if (this.#entry(target).peerNoticeUntilMs > this.#clock.nowMs()) continue;
      this.#leavingByPeers.delete(target);
      if (!this.isLeaving(target)) this.#changed.fire(target);
    }
    for (const target of this.#leaving) {
      this.#publishLeaving(target, this.#entry(target));
    }
  }

  recordState(state: EngineState): void {
    const known = this.#entries.get(state.target)?.state;
    this.#applyState(state, this.#clock.wallMs());
    if (!known || !isSameOffer(known, state)) {
      this.#publishState(state);
    }
    this.#published.fire(state);
  }

  /** Stops new work to the target until its state is received again. */
  markSuspect(target: string): void {
    const entry = this.#entry(target);
    if (entry.isSuspect) return;
    entry.isSuspect = true;
    this.#unresponsive.add(target);
    this.#publishUnresponsive(target, entry);
    entry.unresponsiveSinceMs ??= this.#clock.nowMs();
    this.#changed.fire(target);
  }

  /** Requests an immediate check of a target that failed or rejected a request. */
  requestCheck(target: string): void {
    this.#checkRequested.fire(target);
  }

  markLost(target: string): void {
    const entry = this.#entry(target);
    if (entry.isLost) return;
    entry.isLost = true;
    this.#unresponsive.add(target);
    entry.unresponsiveSinceMs ??= this.#clock.nowMs();
    this.#publishUnresponsive(target, entry);
    this.#changed.fire(target);
  }

  dispose(): void {
    this.#store.dispose();
  }

  #entry(target: string): TargetEntry {
    let entry = this.#entries.get(target);
    if (!entry) {
      entry = {
        unresponsiveSequence: 0,
        readAtWallMs: 0,
        offerSinceMs: 0,
        isSuspect: false,
        isLost: false,
        leavingSources: new Set(),
        peerNoticeUntilMs: 0,
        noticePeriod: -1,
      };
      this.#entries.set(target, entry);
    }
    return entry;
  }

  #removeUnconfigured(known: Readonly<Record<string, unknown>>): void {
    for (const target of this.#entries.keys()) {
      if (target in known) continue;
      this.#entries.delete(target);
      this.#leaving.delete(target);
      this.#leavingByPeers.delete(target);
      this.#unresponsive.delete(target);
    }
  }

  #publishLeaving(target: string, entry: TargetEntry): void {
    const wallMs = this.#clock.wallMs();
    const period = Math.floor(wallMs / NOTICE_PERIOD_MS);
    if (!this.#dissemination || period <= entry.noticePeriod) return;
    entry.noticePeriod = period;
    this.#dissemination.publish({
      topic: "leaving",
      key: target,
      sequence: period,
      data: {},
      expiresAtWallMs: wallMs + this.#peerNoticeTtlMs,
    });
  }

  #applyState(state: EngineState, readAtWallMs: number): void {
    const entry = this.#entry(state.target);
    const changed = entry.isLost || entry.isSuspect || !entry.state ||
      !isSameOffer(entry.state, state);
    if (changed) entry.offerSinceMs = this.#clock.nowMs();
    entry.state = state;
    entry.readAtWallMs = readAtWallMs;
    entry.isSuspect = false;
    this.#unresponsive.delete(state.target);
    entry.unresponsiveSinceMs = undefined;
    entry.isLost = false;
    if (state.leaving) this.markLeaving(state.target, "target");
    else this.clearLeaving(state.target, "target");
    if (changed) this.#changed.fire(state.target);
  }

  #publishState(state: EngineState): void {
    if (!this.#publishesState(state.target)) return;
    const sequence = Math.floor(this.#clock.wallMs());
    this.#publishTargetFact(state.target, { state }, sequence);
  }

  /** Hosts that detect a loss within the same second publish the same fact. */
  #publishUnresponsive(target: string, entry: TargetEntry): void {
    const sequence = Math.floor(this.#clock.wallMs() / 1_000) * 1_000;
    if (sequence - entry.unresponsiveSequence < UNRESPONSIVE_REPEAT_MS) return;
    entry.unresponsiveSequence = sequence;
    this.#publishTargetFact(target, { isSilent: true }, sequence);
  }

  #publishTargetFact(target: string, data: TargetFact, sequence: number): void {
    this.#dissemination?.publish({
      topic: "target",
      key: target,
      sequence,
      data,
      expiresAtWallMs: this.#clock.wallMs() + TARGET_FACT_TTL_MS,
    });
  }

  #handleFact(fact: Fact): void {
    if (fact.expiresAtWallMs <= this.#clock.wallMs()) return;
    if (!(fact.key in this.#config.state.config.targets)) return;
    if (fact.topic === "leaving") this.#handleLeavingFact(fact);
    if (fact.topic === "target") this.#handleTargetFact(fact);
  }

  #handleLeavingFact(fact: Fact): void {
    const entry = this.#entry(fact.key);
    entry.noticePeriod = Math.max(entry.noticePeriod, fact.sequence);
    this.markLeaving(fact.key, "peer");
  }

  /** An `isSilent` fact only triggers a check, since the peer may be partitioned. */
  #handleTargetFact(fact: Fact): void {
    const { state, isSilent } = fact.data as TargetFact;
    if (isSilent) {
      this.#entry(fact.key).unresponsiveSequence = fact.sequence;
      return this.requestCheck(fact.key);
    }
    if (state?.target !== fact.key) return;
    const known = this.#entries.get(fact.key);
    if (fact.sequence <= (known?.readAtWallMs ?? 0)) return;
    this.#applyState(state, fact.sequence);
  }
}

/** Compares everything that affects which work a target can do, so not its load. */
function isSameOffer(a: EngineState, b: EngineState): boolean {
  return a.generation === b.generation && a.first === b.first &&
    a.end === b.end && a.model === b.model && a.version === b.version &&
    a.role === b.role && a.loading === b.loading && a.leaving === b.leaving &&
    a.adapters.join() === b.adapters.join();
}

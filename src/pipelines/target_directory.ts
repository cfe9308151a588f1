/**
 * What this host knows of each target: the state it published last, signs
 * that it leaves, and whether it is suspected or lost. The earliest sign of
 * leaving counts, whoever brings it, and is spread to the other hosts.
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

/** How long a peer's notice of leaving holds after it was last repeated. */
const PEER_NOTICE_TTL_MS = 30_000;
/** Notices of one period are one fact, whichever host publishes it. */
const NOTICE_PERIOD_MS = 10_000;
/** Time after which a loss that goes on is told again. */
const UNRESPONSIVE_REPEAT_MS = 5_000;
/** How long a published state is passed on to hosts that join. */
const TARGET_FACT_TTL_MS = 120_000;

/** Where a sign of leaving came from. */
export type LeavingSource = Parameters<ITargetDirectory["markLeaving"]>[1];

/** Collaborators of a `TargetDirectory`. */
export interface TargetDirectoryOptions {
  readonly config: IConfigService;
  /** Left out, signs stay on this host. */
  readonly dissemination?: IDissemination;
  readonly clock?: Clock;
  readonly peerNoticeTtlMs?: number;
  /** Whether this host spreads the states that it reads of a target; true by default. */
  readonly publishesState?: (target: string) => boolean;
}

interface TargetEntry {
  state?: EngineState;
  /** Sequence of the last fact about its silence, heard or published. */
  unresponsiveSequence: number;
  /** When some host read the state, on that host's clock. */
  readAtWallMs: number;
  /** When the state came to offer what it offers. */
  offerSinceMs: number;
  isSuspect: boolean;
  /** Since when the target has been silent; undefined while it answers. */
  unresponsiveSinceMs?: number;
  isLost: boolean;
  /** Signs that hold until the same source takes them back. */
  readonly leavingSources: Set<LeavingSource>;
  peerNoticeUntilMs: number;
  /** Period of the last notice heard or published. */
  noticePeriod: number;
}

/** What a fact about a target carries. */
interface TargetFact {
  readonly state?: EngineState;
  /** The target did not answer some host. */
  readonly isSilent?: boolean;
}

/** Holds what is known of each target; one owner for each daemon. */
export class TargetDirectory implements ITargetDirectory, Disposable {
  readonly #config: IConfigService;
  readonly #dissemination: IDissemination | undefined;
  readonly #clock: Clock;
  readonly #peerNoticeTtlMs: number;
  readonly #publishesState: (target: string) => boolean;
  readonly #entries = new Map<string, TargetEntry>();
  /** Targets with a sign of leaving that this host knows at first hand. */
  readonly #leaving = new Set<string>();
  /** Targets of which peers said that they leave. */
  readonly #leavingByPeers = new Set<string>();
  /** Targets that are suspected or lost. */
  readonly #unresponsive = new Set<string>();
  readonly #store = new DisposableStore();
  readonly #changed = this.#store.add(new Emitter<string>());
  readonly onChange = this.#changed.event;
  readonly #published = this.#store.add(new Emitter<EngineState>());
  /** Fires for each published state that this host reads, changed or not. */
  readonly onState = this.#published.event;
  readonly #checkRequested = this.#store.add(new Emitter<string>());
  /** Fires for a target whose state is to be read again at once. */
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

  /** The last state published, also of a target that does not answer now. */
  lastState(target: string): EngineState | undefined {
    return this.#entries.get(target)?.state;
  }

  acceptsNewWork(target: string): boolean {
    if (this.isLeaving(target)) return false;
    const entry = this.#entries.get(target);
    return !entry || (!entry.isLost && !entry.isSuspect);
  }

  /** True while any sign of leaving holds, an operator's drain included. */
  isLeaving(target: string): boolean {
    if (this.#config.state.config.targets[target]?.draining) return true;
    const entry = this.#entries.get(target);
    if (!entry) return false;
    return entry.leavingSources.size > 0 ||
      entry.peerNoticeUntilMs > this.#clock.nowMs();
  }

  /** For how long the target has offered the same, as this host knows. */
  offerAgeMs(target: string): number {
    const entry = this.#entries.get(target);
    return entry?.state ? this.#clock.nowMs() - entry.offerSinceMs : 0;
  }

  /** How long the target has not answered, 0 for one that does. */
  unresponsiveForMs(target: string): number {
    const sinceMs = this.#entries.get(target)?.unresponsiveSinceMs;
    return sinceMs === undefined ? 0 : this.#clock.nowMs() - sinceMs;
  }

  /** Targets that answered no more, for as long as they stay configured. */
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

  /** Takes back a sign of leaving; those of other sources still hold. */
  clearLeaving(target: string, source: LeavingSource): void {
    const entry = this.#entries.get(target);
    if (!entry?.leavingSources.delete(source)) return;
    if (entry.leavingSources.size === 0) this.#leaving.delete(target);
    if (!this.isLeaving(target)) this.#changed.fire(target);
  }

  /**
   * Repeats this host's notices whose signs still hold and drops those of
   * peers that ran out; called about once a second.
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

  /** Keeps new work away until the target publishes its state again. */
  markSuspect(target: string): void {
    const entry = this.#entry(target);
    if (entry.isSuspect) return;
    entry.isSuspect = true;
    this.#unresponsive.add(target);
    this.#publishUnresponsive(target, entry);
    entry.unresponsiveSinceMs ??= this.#clock.nowMs();
    this.#changed.fire(target);
  }

  /** Asks for a fresh look at a target that failed or refused a request. */
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

  /** Hosts that notice a loss in one second publish one and the same fact. */
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

  /** A peer's word on a silence only causes a look: the peer may be cut off. */
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

/** True when two states offer the same work; the load does not count. */
function isSameOffer(a: EngineState, b: EngineState): boolean {
  return a.generation === b.generation && a.first === b.first &&
    a.end === b.end && a.model === b.model && a.version === b.version &&
    a.role === b.role && a.loading === b.loading && a.leaving === b.leaving &&
    a.adapters.join() === b.adapters.join();
}

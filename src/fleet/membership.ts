/**
 * Membership of hosts. The platform's list seeds the table; each host probes
 * one random member a period, asks others to probe it when it does not answer,
 * and lets updates travel along with probes (SWIM). The number of messages a
 * second does not depend on the number of hosts.
 *
 * @module
 */

import { type Clock, systemClock } from "../common/clock.ts";
import { Emitter } from "../common/emitter.ts";
import { type Disposable, DisposableStore } from "../common/lifecycle.ts";
import type { Random } from "../common/random.ts";
import type { ListedHost } from "../clients/types.ts";
import { MemberTable, toMember } from "./member_table.ts";
import { MemberSync } from "./member_sync.ts";
import { sampleDistinct } from "./sample_distinct.ts";
import { Prober } from "./prober.ts";
import type {
  IHostListWatcher,
  IMembership,
  IPeerTransport,
  Member,
} from "./services.ts";
import type {
  MemberAddress,
  MemberState,
  MemberUpdate,
  Ping,
} from "./types.ts";
import { UpdateQueue } from "./update_queue.ts";

const DEFAULT_PERIOD_MS = 1_000;
const DEFAULT_SUSPICION_TIMEOUT_MS = 4_000;
const DEFAULT_DOWN_RETENTION_MS = 600_000;
const MAX_UPDATE_BYTES = 1_024;
const LEAVE_PING_COUNT = 3;
/** A wait that takes this much longer than asked means that this host paused. */
const PAUSE_THRESHOLD_MS = 1_000;

/** Collaborators and defaults of a {@link Membership}. */
export interface MembershipOptions {
  /** This host, under the name that it took at this start. */
  readonly self: Omit<Member, "state">;
  readonly transport: IPeerTransport;
  readonly watcher: IHostListWatcher;
  readonly clock?: Clock;
  readonly random?: Random;
  /** Time between two probes. */
  readonly periodMs?: number;
  /** How long a suspect has to refute before it is given no more work. */
  readonly suspicionTimeoutMs?: number;
  /** How long a member that is down is kept, and probed now and then. */
  readonly downRetentionMs?: number;
  /** Which updates go out by {@link Membership.onBroadcast} and not with probes only. */
  readonly broadcasts?: "own" | "own-and-suspect";
}

/** A small value that travels along with probes. */
export interface ProbeExtra {
  readonly read: () => unknown;
  readonly receive: (value: unknown, from: Member) => void;
}

/** Keeps the table of members. */
export class Membership implements IMembership, Disposable {
  readonly #address: MemberAddress;
  readonly #name: string;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #periodMs: number;
  readonly #broadcasts: "own" | "own-and-suspect";
  readonly #table: MemberTable;
  readonly #queue = new UpdateQueue();
  readonly #prober: Prober;
  readonly #sync: MemberSync;
  #listedNames: ReadonlySet<string> = new Set();
  readonly #extras = new Map<string, ProbeExtra>();
  readonly #owned = new DisposableStore();
  readonly #changes = this.#owned.add(new Emitter<readonly Member[]>());
  readonly #broadcastUpdates = this.#owned.add(new Emitter<MemberUpdate>());
  #incarnation = 0;
  #isLeaving = false;
  #members: readonly Member[] | undefined;

  readonly onChange = this.#changes.event;
  /** Fires with what all should know soon: above all that this host leaves. */
  readonly onBroadcast = this.#broadcastUpdates.event;

  constructor(options: MembershipOptions) {
    const { name, url, failureDomain, region } = options.self;
    this.#name = name;
    this.#address = { url, failureDomain, region };
    this.#clock = options.clock ?? systemClock;
    this.#random = options.random ?? Math.random;
    this.#periodMs = options.periodMs ?? DEFAULT_PERIOD_MS;
    this.#broadcasts = options.broadcasts ?? "own-and-suspect";
    this.#table = new MemberTable({
      selfName: name,
      suspicionTimeoutMs: options.suspicionTimeoutMs ??
        DEFAULT_SUSPICION_TIMEOUT_MS,
      downRetentionMs: options.downRetentionMs ?? DEFAULT_DOWN_RETENTION_MS,
    });
    this.#prober = this.#owned.add(
      new Prober({
        transport: options.transport,
        clock: this.#clock,
        random: this.#random,
        table: this.#table,
        makePing: (to) => this.#makePing(to),
        onPing: (ping) => this.#handlePing(ping),
      }),
    );
    this.#sync = this.#owned.add(
      new MemberSync({
        transport: options.transport,
        clock: this.#clock,
        table: this.#table,
        apply: (updates) => this.#applyAll(updates, { spread: false }),
      }),
    );
    this.#owned.add(options.watcher.onList((list) => this.#seed(list)));
    this.#publishSelf();
  }

  get self(): Member {
    const state = this.#isLeaving ? "leaving" : "alive";
    return { name: this.#name, ...this.#address, state };
  }

  members(): readonly Member[] {
    this.#members ??= this.#listMembers();
    return this.#members;
  }

  /** Every other member that can be reached, leaving ones included. */
  peers(): readonly Member[] {
    return this.#table.reachable().map(toMember);
  }

  /**
   * The part of the fleet that this host can reach, itself included: 1 unless
   * members are down that the platform lists as live, or nobody answers.
   */
  get reachableFraction(): number {
    const reachable = this.#table.reachable().length + 1;
    const unreachable = this.#table.down()
      .filter((entry) => this.#listedNames.has(entry.name)).length;
    const all = reachable + unreachable;
    return this.#prober.isIsolated ? 1 / all : reachable / all;
  }

  /** What is known of a member; undefined when it is unknown or forgotten. */
  stateOf(name: string): MemberState | undefined {
    return this.#table.get(name)?.state;
  }

  /** Lets a small value travel along with each probe and answer. */
  addExtra(key: string, extra: ProbeExtra): void {
    this.#extras.set(key, extra);
  }

  /** Takes in an update that came by another way than probes. */
  applyUpdate(update: MemberUpdate): void {
    this.#applyAll([update], { spread: false });
  }

  async leave(): Promise<void> {
    this.#isLeaving = true;
    this.#incarnation += 1;
    this.#broadcastUpdates.fire(this.#publishSelf());
    this.#changes.fire(this.members());
    const notified = sampleDistinct(this.#table.reachable(), {
      count: LEAVE_PING_COUNT,
      random: this.#random,
    });
    await Promise.all(notified.map((entry) => this.#prober.ping(entry)));
  }

  /** Probes and keeps the table until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    let isJoined = false;
    while (!signal.aborted) {
      const startedMs = this.#clock.nowMs();
      if (!isJoined) isJoined = await this.#join();
      await this.#probeNext();
      const waitMs = startedMs + this.#periodMs - this.#clock.nowMs();
      await this.#clock.sleep(waitMs, signal);
      const nowMs = this.#clock.nowMs();
      const wasPaused = nowMs - startedMs > this.#periodMs + PAUSE_THRESHOLD_MS;
      if (wasPaused) this.#table.restartSuspicions(nowMs);
      this.#expire(nowMs);
    }
  }

  dispose(): void {
    this.#owned.dispose();
  }

  async #join(): Promise<boolean> {
    const [entry] = sampleDistinct(this.#table.reachable(), {
      count: 1,
      random: this.#random,
    });
    if (entry === undefined) return false;
    return await this.#sync.pullAll(entry);
  }

  async #probeNext(): Promise<void> {
    const entry = this.#prober.nextMember();
    if (entry === undefined) return;
    const result = await this.#prober.probe(entry);
    if (entry.state === "down") return;
    if (result === "replaced") {
      const { name, incarnation } = entry;
      this.#applyAll([{ name, incarnation, state: "down" }], { spread: true });
    }
    if (result === "failed") this.#suspect(entry.name);
  }

  #suspect(name: string): void {
    const update = this.#table.suspect(name, this.#clock.nowMs());
    if (update === undefined) return;
    if (this.#broadcasts === "own") this.#queue.add(update);
    else this.#broadcastUpdates.fire(update);
    this.#notifyChange();
  }

  #expire(nowMs: number): void {
    if (this.#table.expire(nowMs).length > 0) this.#notifyChange();
  }

  #makePing(to: string): Ping {
    const updates = this.#queue.takeForMessage({
      maxBytes: MAX_UPDATE_BYTES,
      memberCount: this.#table.reachable().length + 1,
    });
    const entry = this.#table.get(to);
    if (entry !== undefined && entry.state !== "alive") {
      const { name, incarnation, state } = entry;
      updates.push({ name, incarnation, state });
    }
    const extras: Record<string, unknown> = {};
    for (const [key, extra] of this.#extras) extras[key] = extra.read();
    const digest = this.#table.digest.combined;
    return { name: this.#name, to, digest, updates, extras };
  }

  /** Handles a probe or the answer to one; returns whether its sender is known. */
  #handlePing(ping: Ping): boolean {
    this.#applyAll(ping.updates, { spread: true });
    if (ping.isStranger || ping.to !== this.#name) this.#publishSelf();
    const entry = this.#table.get(ping.name);
    if (entry === undefined) return false;
    const member = toMember(entry);
    for (const [key, extra] of this.#extras) {
      extra.receive(ping.extras[key], member);
    }
    if (ping.digest !== this.#table.digest.combined) {
      void this.#sync.pullIfDue(entry, { isBusy: this.#queue.size > 0 });
    }
    return true;
  }

  #seed(list: readonly ListedHost[]): void {
    const live = list.filter((host) => host.state === "live");
    this.#listedNames = new Set(live.map((host) => host.name));
    const updates: MemberUpdate[] = [];
    for (const host of list) {
      if (host.role !== "entry" || host.name === this.#name) continue;
      const known = this.#table.get(host.name);
      if (known !== undefined && host.state === "live") continue;
      const { name, url, failureDomain, region } = host;
      updates.push({
        name,
        incarnation: known?.incarnation ?? 0,
        state: host.state === "live" ? "alive" : "leaving",
        address: { url, failureDomain, region },
      });
    }
    this.#applyAll(updates, { spread: false });
  }

  #applyAll(
    updates: readonly MemberUpdate[],
    options: { readonly spread: boolean },
  ): number {
    const nowMs = this.#clock.nowMs();
    let newCount = 0;
    for (const update of updates) {
      if (update.name === this.#name) {
        this.#refute(update);
        continue;
      }
      const wasDown = this.stateOf(update.name) === "down";
      if (!this.#table.apply(update, nowMs)) continue;
      newCount += 1;
      if (options.spread) this.#queue.add(update);
      if (wasDown && update.state === "alive") {
        this.#handleDomainRecovery(update);
      }
    }
    if (newCount > 0) this.#notifyChange();
    return newCount;
  }

  /**
   * A member that was down has come back: its failure domain was cut off. The
   * other members of it need not come back one by one.
   */
  #handleDomainRecovery(update: MemberUpdate): void {
    const entry = this.#table.get(update.name);
    if (entry === undefined) return;
    this.#table.restoreDomain(entry.address.failureDomain, {
      isListed: (name) => this.#listedNames.has(name),
      nowMs: this.#clock.nowMs(),
    });
  }

  /** Contradicts an update about this host that does not hold. */
  #refute(update: MemberUpdate): void {
    if (update.incarnation < this.#incarnation) return;
    const isCurrent = update.state === (this.#isLeaving ? "leaving" : "alive");
    if (isCurrent && update.incarnation === this.#incarnation) return;
    this.#incarnation = update.incarnation + 1;
    const selfUpdate = this.#publishSelf();
    if (this.#broadcasts !== "own") this.#broadcastUpdates.fire(selfUpdate);
  }

  /** Puts what this host says of itself into the table and the queue. */
  #publishSelf(): MemberUpdate {
    const update: MemberUpdate = {
      name: this.#name,
      incarnation: this.#incarnation,
      state: this.#isLeaving ? "leaving" : "alive",
      address: this.#address,
    };
    this.#table.apply(update, this.#clock.nowMs());
    this.#queue.add(update);
    return update;
  }

  #notifyChange(): void {
    this.#members = undefined;
    this.#changes.fire(this.members());
  }

  #listMembers(): Member[] {
    const members = this.#table.reachable()
      .filter((entry) => entry.state !== "leaving")
      .map(toMember);
    if (!this.#isLeaving) members.push(this.self);
    return members;
  }
}

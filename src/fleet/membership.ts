/**
 * Members as this host sees them: seeded from the platform's list, then
 * probed.
 *
 * @module
 */

import { type Clock, systemClock } from "../common/clock.ts";
import { Emitter } from "../common/emitter.ts";
import { type Disposable, DisposableStore } from "../common/lifecycle.ts";
import type { Random } from "../common/random.ts";
import type { ListedHost } from "../platform/types.ts";
import type {
  IHostListWatcher,
  IMembership,
  IPeerTransport,
  Member,
} from "./services.ts";

const PROBE_PERIOD_MS = 1_000;
const PROBE_TIMEOUT_MS = 800;
const MAX_FAILED_PROBES = 3;

/** Collaborators and defaults of a {@link Membership}. */
export interface MembershipOptions {
  /** This host, under the name that it took at this start. */
  readonly self: Omit<Member, "state">;
  readonly transport: IPeerTransport;
  readonly watcher: IHostListWatcher;
  readonly clock?: Clock;
  readonly random?: Random;
}

/** Keeps the table of members. */
export class Membership implements IMembership, Disposable {
  readonly #transport: IPeerTransport;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #owned = new DisposableStore();
  readonly #changes = this.#owned.add(new Emitter<readonly Member[]>());
  readonly #others = new Map<string, Member>();
  readonly #failedProbes = new Map<string, number>();
  #self: Member;

  readonly onChange = this.#changes.event;

  constructor(options: MembershipOptions) {
    this.#self = { ...options.self, state: "alive" };
    this.#transport = options.transport;
    this.#clock = options.clock ?? systemClock;
    this.#random = options.random ?? Math.random;
    this.#owned.add(options.watcher.onList((list) => this.#seed(list)));
    this.#owned.add(
      this.#transport.handle("members.ping", (from) => this.#answerPing(from)),
    );
  }

  get self(): Member {
    return this.#self;
  }

  members(): readonly Member[] {
    const others = [...this.#others.values()];
    return [this.#self, ...others].filter((member) =>
      member.state !== "leaving"
    );
  }

  /** Every other member that can be reached, leaving ones included. */
  peers(): readonly Member[] {
    return [...this.#others.values()];
  }

  async leave(): Promise<void> {
    this.#self = { ...this.#self, state: "leaving" };
    await Promise.all(this.peers().map((peer) => this.#ping(peer)));
    this.#changes.fire(this.members());
  }

  /** Probes until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const peers = this.peers();
      const peer = peers[Math.floor(this.#random() * peers.length)];
      if (peer !== undefined) await this.#probe(peer);
      await this.#clock.sleep(PROBE_PERIOD_MS, signal);
    }
  }

  dispose(): void {
    this.#owned.dispose();
  }

  async #probe(peer: Member): Promise<void> {
    if (await this.#ping(peer)) {
      this.#failedProbes.delete(peer.name);
      return;
    }
    const failedCount = (this.#failedProbes.get(peer.name) ?? 0) + 1;
    this.#failedProbes.set(peer.name, failedCount);
    if (failedCount < MAX_FAILED_PROBES) return;
    this.#others.delete(peer.name);
    this.#failedProbes.delete(peer.name);
    this.#changes.fire(this.members());
  }

  async #ping(peer: Member): Promise<boolean> {
    const outcome = await this.#transport.call(
      peer.url,
      { method: "members.ping", parameters: this.#self },
      { deadlineMs: this.#clock.nowMs() + PROBE_TIMEOUT_MS },
    );
    if (outcome.isErr()) return false;
    this.#learn(outcome.value as Member);
    return true;
  }

  #answerPing(from: unknown): Member {
    this.#learn(from as Member);
    return this.#self;
  }

  #seed(list: readonly ListedHost[]): void {
    for (const host of list) {
      if (host.role !== "entry" || this.#others.has(host.name)) continue;
      if (host.state !== "live") continue;
      const { name, url, failureDomain, region } = host;
      this.#learn({ name, url, failureDomain, region, state: "alive" });
    }
  }

  #learn(member: Member): void {
    if (member.name === this.#self.name) return;
    const known = this.#others.get(member.name);
    if (known?.state === member.state) return;
    this.#others.set(member.name, member);
    this.#changes.fire(this.members());
  }
}

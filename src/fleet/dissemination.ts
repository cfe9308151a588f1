/**
 * Spreads small facts to every host. A fact goes down a tree over the hashes
 * of member names: a host splits the range that it serves among a few members
 * of that range, each of which serves its part; this is the structured
 * broadcast of Pastel (Cruces, Rodrigues and Ferreira, "Pastel: Bridging the
 * Gap Between Structured and Large-State Overlays"), with each hand-over
 * acknowledged and another member tried when one does not answer. It sends
 * about one message a host and fact where gossip sends several;
 * `measure/fleet_dissemination.ts` compares them. What the tree misses is
 * found by digests that travel along with probes.
 *
 * @module
 */

import { type Clock, systemClock } from "../common/clock.ts";
import { Emitter } from "../common/emitter.ts";
import { type Disposable, DisposableStore } from "../common/lifecycle.ts";
import type { Random } from "../common/random.ts";
import { CallRateLimiter } from "./call_rate_limiter.ts";
import { FactStore } from "./fact_store.ts";
import { FactSync } from "./fact_sync.ts";
import { STATE_COUNT, stateRank } from "./member_table.ts";
import { HASH_SPACE, MemberRing, type RingRange } from "./member_ring.ts";
import type { Membership } from "./membership.ts";
import type {
  Fact,
  IDissemination,
  IPeerTransport,
  Member,
} from "./services.ts";
import type { FactPush, MemberUpdate } from "./types.ts";

const FANOUT = 4;
const MAX_ATTEMPTS = 3;
const PUSH_TIMEOUT_MS = 250;
const MAX_FACTS_PER_PUSH = 64;
const MAX_FACTS = 4_096;
const CALLS_PER_S = 50;
const CALL_BURST = 50;
const MAX_QUEUED_CALLS = 500;
/** Facts published within this time after others go out together. */
const BATCH_MS = 50;
const EXPIRE_PERIOD_MS = 1_000;
const MEMBER_FACT_TTL_MS = 60_000;
const NO_NAMES: ReadonlySet<string> = new Set();

/** Collaborators and defaults of a {@link Dissemination}. */
export interface DisseminationOptions {
  readonly membership: Membership;
  readonly transport: IPeerTransport;
  readonly clock?: Clock;
  readonly random?: Random;
  readonly maxFacts?: number;
}

/** Publishes, relays and keeps facts. */
export class Dissemination implements IDissemination, Disposable {
  readonly #membership: Membership;
  readonly #transport: IPeerTransport;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #ring: MemberRing;
  readonly #store: FactStore;
  readonly #rateLimiter: CallRateLimiter;
  readonly #owned = new DisposableStore();
  readonly #received = this.#owned.add(new Emitter<Fact>());
  #outgoing: Fact[] = [];
  #nextBatchMs = 0;

  readonly onFact = this.#received.event;

  constructor(options: DisseminationOptions) {
    this.#membership = options.membership;
    this.#transport = options.transport;
    this.#clock = options.clock ?? systemClock;
    this.#random = options.random ?? Math.random;
    this.#ring = this.#owned.add(new MemberRing(options.membership));
    this.#store = new FactStore({ maxFacts: options.maxFacts ?? MAX_FACTS });
    this.#rateLimiter = new CallRateLimiter({
      clock: this.#clock,
      callsPerS: CALLS_PER_S,
      burst: CALL_BURST,
      maxWaiting: MAX_QUEUED_CALLS,
    });
    this.#owned.add(
      this.#transport.handle(
        "facts.push",
        (push) => this.#receive(push as FactPush),
      ),
    );
    this.#owned.add(
      new FactSync({
        membership: this.#membership,
        transport: this.#transport,
        clock: this.#clock,
        store: this.#store,
        apply: (facts) => this.#applyAll(facts),
      }),
    );
    this.#owned.add(
      this.#membership.onBroadcast((update) => this.#publishMember(update)),
    );
  }

  publish(fact: Fact): void {
    if (!this.#store.apply(fact, this.#clock.wallMs())) return;
    this.#outgoing.push(fact);
    if (this.#outgoing.length === 1) void this.#sendBatch();
  }

  /** Forgets expired facts until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#store.expire(this.#clock.wallMs());
      await this.#clock.sleep(EXPIRE_PERIOD_MS, signal);
    }
  }

  dispose(): void {
    this.#owned.dispose();
  }

  async #sendBatch(): Promise<void> {
    const nowMs = this.#clock.nowMs();
    if (nowMs < this.#nextBatchMs) {
      await this.#clock.sleep(this.#nextBatchMs - nowMs);
    }
    this.#nextBatchMs = this.#clock.nowMs() + BATCH_MS;
    const facts = this.#outgoing;
    this.#outgoing = [];
    const range = { firstHash: 0, endHash: HASH_SPACE };
    for (let offset = 0; offset < facts.length; offset += MAX_FACTS_PER_PUSH) {
      this.#forward(facts.slice(offset, offset + MAX_FACTS_PER_PUSH), range);
    }
  }

  #receive(push: FactPush): null {
    this.#applyAll(push.facts);
    this.#forward(push.facts, push);
    return null;
  }

  #applyAll(facts: readonly Fact[]): number {
    const wallMs = this.#clock.wallMs();
    let newCount = 0;
    for (const fact of facts) {
      if (!this.#store.apply(fact, wallMs)) continue;
      newCount += 1;
      if (fact.topic === "member") {
        this.#membership.applyUpdate(fact.data as MemberUpdate);
      }
      this.#received.fire(fact);
    }
    return newCount;
  }

  /** Hands the facts over to the members of a range. */
  #forward(facts: readonly Fact[], range: RingRange): void {
    for (const part of this.#ring.split(range, FANOUT)) {
      void this.#pushTo(facts, part);
    }
  }

  async #pushTo(facts: readonly Fact[], part: RingRange): Promise<void> {
    const parameters: FactPush = { facts, ...part };
    const tried = new Set<string>();
    for (let count = 0; count < MAX_ATTEMPTS; count += 1) {
      const member = this.#selectRelay(part, tried);
      if (member === undefined) return;
      tried.add(member.name);
      if (!await this.#rateLimiter.acquire()) return;
      const outcome = await this.#transport.call(
        member.url,
        { method: "facts.push", parameters },
        { deadlineMs: this.#clock.nowMs() + PUSH_TIMEOUT_MS },
      );
      if (outcome.isOk()) return;
    }
  }

  /** Picks a member not tried yet, or one again when all were. */
  #selectRelay(
    part: RingRange,
    tried: ReadonlySet<string>,
  ): Member | undefined {
    const random = this.#random;
    return this.#ring.selectRandom(part, { exclude: tried, random }) ??
      this.#ring.selectRandom(part, { exclude: NO_NAMES, random });
  }

  #publishMember(update: MemberUpdate): void {
    this.publish({
      topic: "member",
      key: update.name,
      sequence: update.incarnation * STATE_COUNT + stateRank(update.state),
      data: update,
      expiresAtWallMs: this.#clock.wallMs() + MEMBER_FACT_TTL_MS,
    });
  }
}

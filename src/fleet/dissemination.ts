/**
 * Spreads small facts to every host.
 *
 * @module
 */

import { type Clock, systemClock } from "../common/clock.ts";
import { Emitter } from "../common/emitter.ts";
import { type Disposable, DisposableStore } from "../common/lifecycle.ts";
import type {
  Fact,
  IDissemination,
  IMembership,
  IPeerTransport,
} from "./services.ts";

const PUSH_TIMEOUT_MS = 1_000;

/** Collaborators and defaults of a {@link Dissemination}. */
export interface DisseminationOptions {
  readonly membership: IMembership;
  readonly transport: IPeerTransport;
  readonly clock?: Clock;
}

/** Pushes each fact to all members. */
export class Dissemination implements IDissemination, Disposable {
  readonly #membership: IMembership;
  readonly #transport: IPeerTransport;
  readonly #clock: Clock;
  readonly #owned = new DisposableStore();
  readonly #heard = this.#owned.add(new Emitter<Fact>());
  readonly #facts = new Map<string, Fact>();

  readonly onFact = this.#heard.event;

  constructor(options: DisseminationOptions) {
    this.#membership = options.membership;
    this.#transport = options.transport;
    this.#clock = options.clock ?? systemClock;
    this.#owned.add(
      this.#transport.handle("facts.push", (fact) => this.#receive(fact)),
    );
  }

  publish(fact: Fact): void {
    if (!this.#take(fact)) return;
    const request = { method: "facts.push", parameters: fact };
    const deadlineMs = this.#clock.nowMs() + PUSH_TIMEOUT_MS;
    for (const member of this.#membership.members()) {
      if (member.name === this.#membership.self.name) continue;
      void this.#transport.call(member.url, request, { deadlineMs });
    }
  }

  /** Forgets expired facts until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const wallMs = this.#clock.wallMs();
      for (const [key, fact] of this.#facts) {
        if (fact.expiresAtWallMs <= wallMs) this.#facts.delete(key);
      }
      await this.#clock.sleep(1_000, signal);
    }
  }

  dispose(): void {
    this.#owned.dispose();
  }

  #receive(payload: unknown): null {
    const fact = payload as Fact;
    if (this.#take(fact)) this.#heard.fire(fact);
    return null;
  }

  #take(fact: Fact): boolean {
    if (fact.expiresAtWallMs <= this.#clock.wallMs()) return false;
    const key = `${fact.topic}/${fact.key}`;
    const known = this.#facts.get(key);
    if (known !== undefined && known.sequence >= fact.sequence) return false;
    this.#facts.set(key, fact);
    return true;
  }
}

/**
 * Tells every host of a strike and waits for their word: directly in a small
 * fleet, through relays in a large one.
 *
 * @module
 */

import { z } from "zod";
import type { Clock } from "../common/clock.ts";
import { type Disposable, DisposableStore } from "../common/lifecycle.ts";
import type { IMembership, IPeerTransport, Member } from "../fleet/services.ts";
import { parseStrikeEntry, type StrikeEntry } from "./strike_ledger.ts";

const messageSchema = z.strictObject({
  entry: z.unknown(),
  /** Names of hosts that the receiver tells in turn. */
  relayTo: z.array(z.string().max(128)).max(1_000),
  waitMs: z.number().min(0),
});

/** Options of `StrikeBroadcast`. */
export interface StrikeBroadcastOptions {
  readonly clock: Clock;
  readonly membership: IMembership;
  readonly transport: IPeerTransport;
  readonly onEntry: (entry: StrikeEntry) => void;
}

/** Sends entries to all hosts and hears those of others. */
export class StrikeBroadcast implements Disposable {
  readonly #options: StrikeBroadcastOptions;
  readonly #owned = new DisposableStore();

  constructor(options: StrikeBroadcastOptions) {
    this.#options = options;
    this.#owned.add(
      options.transport.handle(
        "quarantine.strike",
        (sent) => this.#receive(sent),
      ),
    );
  }

  dispose(): void {
    this.#owned.dispose();
  }

  /** Resolves once every host has answered or the deadline has passed. */
  async send(
    entry: StrikeEntry,
    options: { deadlineMs: number },
  ): Promise<void> {
    const { self } = this.#options.membership;
    const others = this.#members().filter((other) => other.name !== self.name);
    const groupSize = Math.max(1, Math.round(Math.sqrt(others.length) / 3));
    const groups: Member[][] = [];
    for (let at = 0; at < others.length; at += groupSize) {
      groups.push(others.slice(at, at + groupSize));
    }
    await Promise.all(
      groups.map((group) => this.#sendToGroup(entry, group, options)),
    );
  }

  /** Tells a group through its first member, or else each of them. */
  async #sendToGroup(
    entry: StrikeEntry,
    group: readonly Member[],
    options: { deadlineMs: number },
  ): Promise<void> {
    const [relay, ...rest] = group;
    const relayTo = rest.map((member) => member.name);
    if (await this.#sendTo(relay, { entry, relayTo, ...options })) return;
    await Promise.all(
      rest.map((member) =>
        this.#sendTo(member, { entry, relayTo: [], ...options })
      ),
    );
  }

  async #sendTo(
    member: Member,
    sent: { entry: StrikeEntry; relayTo: string[]; deadlineMs: number },
  ): Promise<boolean> {
    const { clock, transport } = this.#options;
    const { entry, relayTo, deadlineMs } = sent;
    const leftMs = deadlineMs - clock.nowMs();
    if (leftMs <= 0) return false;
    const waitMs = leftMs / 2;
    const answered = await transport.call(member.url, {
      method: "quarantine.strike",
      parameters: { entry, relayTo, waitMs },
    }, { deadlineMs: clock.nowMs() + leftMs / 2 });
    return answered.isOk();
  }

  async #receive(sent: unknown): Promise<null> {
    const { entry: raw, relayTo, waitMs } = messageSchema.parse(sent);
    const entry = parseStrikeEntry(raw);
    if (entry === undefined) throw new Error("malformed strike entry");
    this.#options.onEntry(entry);
    const deadlineMs = this.#options.clock.nowMs() + waitMs;
    const names = new Set(relayTo);
    const recipients = this.#members().filter((member) =>
      names.has(member.name)
    );
    await Promise.all(
      recipients.map((member) =>
        this.#sendTo(member, { entry, relayTo: [], deadlineMs })
      ),
    );
    return null;
  }

  #members(): readonly Member[] {
    return this.#options.membership.members();
  }
}

/**
 * Probes members: directly, then through others, so that one bad link does not
 * make a member suspect.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { type Disposable, DisposableStore } from "../common/lifecycle.ts";
import type { Random } from "../common/random.ts";
import type { MemberEntry, MemberTable } from "./member_table.ts";
import { sampleDistinct } from "./sample_distinct.ts";
import type { IPeerTransport } from "./services.ts";
import type { IndirectProbe, Ping } from "./types.ts";

const DIRECT_TIMEOUT_MS = 400;
const INDIRECT_TIMEOUT_MS = 500;
const INDIRECT_PROBE_COUNT = 3;
/** One probe in this many goes to a member that is down, when there is one. */
const DOWN_PROBE_INTERVAL = 4;
/** Probes in a row that nobody answered, after which a host is cut off. */
const ISOLATED_AFTER_PROBES = 2;
/** Failures in a row after which a host that reaches nobody suspects others. */
const SUSPECT_WHEN_ISOLATED_AFTER_PROBES = 5;
/** An answer this late means that this host was paused while it waited. */
const PAUSE_TOLERANCE_MS = 500;

/**
 * `replaced` when another host answers at the member's address; `unknown` when
 * the probing host itself may be at fault.
 */
export type ProbeResult = "answered" | "failed" | "replaced" | "unknown";

/** Collaborators of a {@link Prober}. */
export interface ProberOptions {
  readonly transport: IPeerTransport;
  readonly clock: Clock;
  readonly random: Random;
  readonly table: MemberTable;
  readonly makePing: (to: string) => Ping;
  /** Hears a probe or an answer; returns false when its sender is not known. */
  readonly onPing: (ping: Ping) => boolean;
}

/** Sends probes and answers those of others. */
export class Prober implements Disposable {
  readonly #transport: IPeerTransport;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #table: MemberTable;
  readonly #makePing: (to: string) => Ping;
  readonly #onPing: (ping: Ping) => boolean;
  readonly #owned = new DisposableStore();
  #probeCount = 0;
  #unansweredProbes = 0;

  constructor(options: ProberOptions) {
    this.#transport = options.transport;
    this.#clock = options.clock;
    this.#random = options.random;
    this.#table = options.table;
    this.#makePing = options.makePing;
    this.#onPing = options.onPing;
    this.#owned.add(
      this.#transport.handle("members.ping", (ping) => this.#handlePing(ping)),
    );
    this.#owned.add(
      this.#transport.handle(
        "members.probe",
        (probe) => this.#handleIndirectProbe(probe),
      ),
    );
  }

  /** True while neither members nor helpers answer this host. */
  get isIsolated(): boolean {
    return this.#unansweredProbes >= ISOLATED_AFTER_PROBES;
  }

  /** The member to probe next. */
  nextMember(): MemberEntry | undefined {
    this.#probeCount += 1;
    const down = this.#probeCount % DOWN_PROBE_INTERVAL === 0
      ? this.#table.down()
      : [];
    const candidates = down.length > 0 ? down : this.#table.reachable();
    return candidates[Math.floor(this.#random() * candidates.length)];
  }

  async probe(entry: MemberEntry): Promise<ProbeResult> {
    const startedMs = this.#clock.nowMs();
    const name = await this.ping(entry);
    if (name === entry.name) return this.#recordContact("answered");
    if (name !== undefined) return this.#recordContact("replaced");
    const results = await this.#probeIndirectly(entry);
    if (results.includes(true)) return this.#recordContact("answered");
    const elapsedMs = this.#clock.nowMs() - startedMs;
    const maxElapsedMs = DIRECT_TIMEOUT_MS + INDIRECT_TIMEOUT_MS +
      PAUSE_TOLERANCE_MS;
    if (elapsedMs > maxElapsedMs) return "unknown";
    if (results.includes(false)) return this.#recordContact("failed");
    this.#unansweredProbes += 1;
    const isConclusive =
      this.#unansweredProbes >= SUSPECT_WHEN_ISOLATED_AFTER_PROBES;
    return isConclusive ? "failed" : "unknown";
  }

  /** Probes a member directly; returns the name of the host that answered. */
  async ping(entry: MemberEntry): Promise<string | undefined> {
    const reply = await this.#send(entry.name, {
      url: entry.address.url,
      timeoutMs: DIRECT_TIMEOUT_MS,
    });
    return reply?.name;
  }

  dispose(): void {
    this.#owned.dispose();
  }

  async #send(
    name: string,
    options: { readonly url: string; readonly timeoutMs: number },
  ): Promise<Ping | undefined> {
    const outcome = await this.#transport.call(
      options.url,
      { method: "members.ping", parameters: this.#makePing(name) },
      { deadlineMs: this.#clock.nowMs() + options.timeoutMs },
    );
    if (outcome.isErr() || !isPing(outcome.value)) return undefined;
    this.#onPing(outcome.value);
    return outcome.value;
  }

  /** What each helper says; undefined from one that gave no answer itself. */
  #probeIndirectly(entry: MemberEntry): Promise<(boolean | undefined)[]> {
    const others = this.#table.reachable()
      .filter((other) => other !== entry && other.state === "alive");
    const relays = sampleDistinct(others, {
      count: INDIRECT_PROBE_COUNT,
      random: this.#random,
    });
    const parameters: IndirectProbe = {
      target: entry.name,
      url: entry.address.url,
      timeoutMs: DIRECT_TIMEOUT_MS,
    };
    const deadlineMs = this.#clock.nowMs() + INDIRECT_TIMEOUT_MS;
    return Promise.all(relays.map(async (relay) => {
      const outcome = await this.#transport.call(
        relay.address.url,
        { method: "members.probe", parameters },
        { deadlineMs },
      );
      return outcome.isOk() ? outcome.value === true : undefined;
    }));
  }

  #handlePing(payload: unknown): Ping {
    if (!isPing(payload)) throw new Error("not a probe");
    const isKnown = this.#onPing(payload);
    const reply = this.#makePing(payload.name);
    return isKnown ? reply : { ...reply, isStranger: true };
  }

  async #handleIndirectProbe(payload: unknown): Promise<boolean> {
    const probe = payload as IndirectProbe;
    const reply = await this.#send(probe.target, {
      url: probe.url,
      timeoutMs: Math.min(DIRECT_TIMEOUT_MS, probe.timeoutMs),
    });
    return reply?.name === probe.target;
  }

  #recordContact(result: ProbeResult): ProbeResult {
    this.#unansweredProbes = 0;
    return result;
  }
}

function isPing(payload: unknown): payload is Ping {
  const ping = payload as Partial<Ping> | null;
  return typeof ping === "object" && ping !== null &&
    typeof ping.name === "string" &&
    typeof ping.digest === "number" &&
    Array.isArray(ping.updates) &&
    typeof ping.extras === "object";
}

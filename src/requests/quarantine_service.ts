/**
 * Keeps content that crashes targets from costing more than a stated number
 * of them: losses are counted for each content over the fleet, and content
 * with a loss against it runs apart from other suspects until it has run past
 * the point of the loss.
 *
 * @module
 */

import { Ok } from "ts-results-es";
import { type Clock, systemClock } from "../common/clock.ts";
import {
  type Disposable,
  DisposableStore,
  toDisposable,
} from "../common/lifecycle.ts";
import { notRun, type Outcome } from "../common/verdict.ts";
import type {
  IDissemination,
  IMembership,
  IPeerTransport,
} from "../fleet/services.ts";
import type { ChainStage } from "../clients/types.ts";
import type { IQuarantineService, Isolation } from "./services.ts";
import { StrikeBroadcast } from "./strike_broadcast.ts";
import {
  parseStrikeEntry,
  type StrikeEntry,
  StrikeLedger,
} from "./strike_ledger.ts";
import { SuspectLocks } from "./suspect_locks.ts";

/** Options of `QuarantineService`. */
export interface QuarantineServiceOptions {
  readonly membership: IMembership;
  readonly transport: IPeerTransport;
  readonly dissemination: IDissemination;
  readonly clock?: Clock;
  /** Distinct targets that one content may cost. */
  readonly maxTargetsLost?: number;
  /** How long a loss counts. */
  readonly retentionMs?: number;
  /** Contents remembered. */
  readonly capacity?: number;
  /** How long a strike may take to reach the other hosts. */
  readonly broadcastTimeoutMs?: number;
}

/** Longest time for which a suspect keeps its targets to itself. */
const MAX_LOCK_DURATION_MS = 60_000;
const TARGET_LOCK_PREFIX = "target/";
const SYNC_TIMEOUT_MS = 1_000;
const SYNC_PEERS = 3;

/** Counts losses by content and keeps suspects apart. */
export class QuarantineService implements IQuarantineService, Disposable {
  readonly #clock: Clock;
  readonly #retentionMs: number;
  readonly #broadcastTimeoutMs: number;
  readonly #options: QuarantineServiceOptions;
  readonly #ledger: StrikeLedger;
  readonly #broadcast: StrikeBroadcast;
  readonly #locks: SuspectLocks;
  readonly #owned = new DisposableStore();
  #lockCount = 0;

  constructor(options: QuarantineServiceOptions) {
    const clock = options.clock ?? systemClock;
    this.#options = options;
    this.#clock = clock;
    this.#retentionMs = options.retentionMs ?? 86_400_000;
    this.#broadcastTimeoutMs = options.broadcastTimeoutMs ?? 200;
    this.#ledger = new StrikeLedger({
      maxTargetsLost: options.maxTargetsLost ?? 2,
      retentionMs: this.#retentionMs,
      capacity: options.capacity ?? 20_000,
    });
    this.#broadcast = this.#owned.add(
      new StrikeBroadcast({
        ...options,
        clock,
        onEntry: (entry) => this.#ledger.merge(entry),
      }),
    );
    this.#locks = this.#owned.add(new SuspectLocks({ ...options, clock }));
    this.#owned.add(
      options.dissemination.onFact(({ topic, data }) => {
        if (topic === "strike") this.#receive(data);
      }),
    );
    this.#owned.add(
      options.transport.handle("quarantine.list", () => this.#ledger.entries()),
    );
  }

  dispose(): void {
    this.#owned.dispose();
  }

  /** Learns from peers what was struck before this host started. */
  async start(): Promise<void> {
    const { membership, transport } = this.#options;
    const peers = membership.members()
      .filter((member) => member.name !== membership.self.name)
      .slice(0, SYNC_PEERS);
    const deadlineMs = this.#clock.nowMs() + SYNC_TIMEOUT_MS;
    await Promise.all(peers.map(async ({ url }) => {
      const request = { method: "quarantine.list", parameters: null };
      const answered = await transport.call(url, request, { deadlineMs });
      if (answered.isErr() || !Array.isArray(answered.value)) return;
      for (const entry of answered.value) this.#receive(entry);
    }));
  }

  admit(fingerprint: string): Outcome<void> {
    const wallMs = this.#clock.wallMs();
    if (!this.#ledger.isQuarantined(fingerprint, wallMs)) return Ok.EMPTY;
    const message = `the content has cost ${
      this.#lossCount(fingerprint)
    } targets`;
    const retryAtWallMs = wallMs + this.#retentionMs;
    return notRun("quarantined", message, { retryAtWallMs });
  }

  async strike(
    fingerprint: string,
    options: {
      stage: Pick<ChainStage, "target" | "first" | "end">;
      startedMs: number;
      isAlone: boolean;
      deadlineMs: number;
    },
  ): Promise<void> {
    const nowMs = this.#clock.nowMs();
    const wallMs = this.#clock.wallMs();
    const startedWallMs = wallMs - nowMs + options.startedMs;
    if (this.#ledger.wasDownAt(options.stage.target, startedWallMs)) return;
    const { target, first, end } = options.stage;
    const { isAlone } = options;
    const loss = { target, first, end, atWallMs: wallMs, isAlone };
    const entry = this.#ledger.strike(fingerprint, loss);
    if (entry === undefined) return;
    this.#publish(entry);
    await this.#broadcast.send(entry, {
      deadlineMs: Math.min(
        options.deadlineMs,
        nowMs + this.#broadcastTimeoutMs,
      ),
    });
  }

  async isolate(
    fingerprint: string,
    options: { targets: readonly string[]; deadlineMs: number },
  ): Promise<Isolation> {
    if (this.#lossCount(fingerprint) === 0) return { kind: "unsuspected" };
    const owner = `${this.#options.membership.self.name}/${this.#lockCount++}`;
    const names = [
      `content/${fingerprint}`,
      ...options.targets.map((target) => `${TARGET_LOCK_PREFIX}${target}`),
    ];
    const leftMs = options.deadlineMs - this.#clock.nowMs();
    const expiresAtWallMs = this.#clock.wallMs() +
      Math.min(MAX_LOCK_DURATION_MS, leftMs);
    const held = await this.#locks.acquire(names, { owner, expiresAtWallMs });
    if (held.length > 0) {
      const targets = held.filter((name) => name.startsWith(TARGET_LOCK_PREFIX))
        .map((name) => name.slice(TARGET_LOCK_PREFIX.length));
      return { kind: "busy", targets };
    }
    const lease = new DisposableStore();
    lease.add(toDisposable(() => this.#locks.release(names, owner)));
    return { kind: "alone", lease };
  }

  clearSuspicion(fingerprint: string): void {
    const entry = this.#ledger.clearLosses(fingerprint, this.#clock.wallMs());
    if (entry === undefined) return;
    this.#publish(entry);
    const deadlineMs = this.#clock.nowMs() + this.#broadcastTimeoutMs;
    void this.#broadcast.send(entry, { deadlineMs });
  }

  #lossCount(fingerprint: string): number {
    return this.#ledger.lossCount(fingerprint, this.#clock.wallMs());
  }

  #receive(sent: unknown): void {
    const entry = parseStrikeEntry(sent);
    if (entry !== undefined) this.#ledger.merge(entry);
  }

  #publish(entry: StrikeEntry): void {
    const wallMs = this.#clock.wallMs();
    this.#options.dissemination.publish({
      topic: "strike",
      key: `${entry.fingerprint}/${this.#options.membership.self.name}`,
      sequence: wallMs,
      data: entry,
      expiresAtWallMs: wallMs + this.#retentionMs,
    });
  }
}

/**
 * Reads the configuration stream of the log, and writes snapshots into it
 * before retention passes the records that a host needs to start.
 *
 * @module
 */

import { type Clock, systemClock } from "../common/clock.ts";
import type { Random } from "../common/random.ts";
import type { Failure, Outcome } from "../common/verdict.ts";
import type { ILogClient } from "../clients/services.ts";
import type { LogPage } from "../clients/types.ts";
import type { ConfigHolder } from "./config_holder.ts";
import { parseConfig } from "./patch.ts";
import { CONFIG_STREAM, parseRecord } from "./records.ts";

/** Hosts that read the log all the time; the others wait for their word. */
const READER_COUNT = 3;
const CALL_TIMEOUT_MS = 2_000;
const LONG_POLL_MS = 500;
const MIN_DELAY_MS = 50;
const PAGE_LIMIT = 500;
const RETRY_DELAY_MS = 250;
const MAX_RETRY_DELAY_MS = 4_000;
const SNAPSHOT_INTERVAL_RECORDS = 1_000;
const SNAPSHOT_INTERVAL_MS = 3_600_000;
const SNAPSHOT_RETRY_DELAY_MS = 10_000;
const ACCEPTED_RETRY_DELAY_MS = 2_000;
/** How much longer each later reader waits before it writes a snapshot. */
const SNAPSHOT_RANK_STEP = 0.25;

/** When a snapshot is due. `everyMs` must be well below the log's retention. */
export interface SnapshotPolicy {
  readonly everyRecords: number;
  readonly everyMs: number;
}

/** Options of the follower of one host. */
export interface LogFollowerOptions {
  readonly log: ILogClient;
  readonly holder: ConfigHolder;
  /** Name of this host, written into snapshots. */
  readonly host: string;
  readonly clock?: Clock;
  readonly random?: Random;
  readonly createId?: () => string;
  readonly snapshotPolicy?: Partial<SnapshotPolicy>;
  /** This host's place for roles; hosts below {@link READER_COUNT} read the log. */
  readonly rank?: () => number;
  /** How stale the host's state may grow before it reads the log itself. */
  readonly readTimeoutMs?: () => number;
  /** Called after a read, with whether the other hosts should hear of it at once. */
  readonly onRead?: (shouldAnnounce: boolean) => void;
  readonly onLogFailure?: (failure: Failure) => void;
}

/** The log's side of the configuration; see the module. */
export class LogFollower {
  readonly #log: ILogClient;
  readonly #holder: ConfigHolder;
  readonly #host: string;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #createId: () => string;
  readonly #snapshotPolicy: SnapshotPolicy;
  readonly #rank: () => number;
  readonly #readTimeoutMs: () => number;
  readonly #onRead: (shouldAnnounce: boolean) => void;
  readonly #onLogFailure: (failure: Failure) => void;
  /** Where to go on in the search for a snapshot, while one is needed. */
  #searchOffset = 0;
  /** The change that this host has spoken up for. */
  #announcedOffset = -1;
  readonly #startedMs: number;
  readonly #startedWallMs: number;
  #lastSnapshotAttemptMs = -Infinity;
  #nextAcceptedAttemptMs = -Infinity;

  constructor(options: LogFollowerOptions) {
    this.#log = options.log;
    this.#holder = options.holder;
    this.#host = options.host;
    this.#clock = options.clock ?? systemClock;
    this.#random = options.random ?? Math.random;
    this.#createId = options.createId ?? (() => crypto.randomUUID());
    this.#snapshotPolicy = {
      everyRecords: SNAPSHOT_INTERVAL_RECORDS,
      everyMs: SNAPSHOT_INTERVAL_MS,
      ...options.snapshotPolicy,
    };
    this.#rank = options.rank ?? (() => 0);
    this.#readTimeoutMs = options.readTimeoutMs ?? (() => 0);
    this.#onRead = options.onRead ?? (() => {});
    this.#onLogFailure = options.onLogFailure ?? (() => {});
    this.#startedMs = this.#clock.nowMs();
    this.#startedWallMs = this.#clock.wallMs();
  }

  /** Reads whenever this host should, until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    let retryDelayMs = RETRY_DELAY_MS;
    while (!signal.aborted) {
      const waitMs = this.#readDelayMs();
      if (waitMs > 0) {
        await this.#clock.sleep(Math.max(waitMs, MIN_DELAY_MS), signal);
        continue;
      }
      const outcome = await this.readOnce({
        deadlineMs: this.#clock.nowMs() + CALL_TIMEOUT_MS,
        waitMs: this.#holder.isReady ? LONG_POLL_MS : 0,
        signal,
      });
      if (signal.aborted) return;
      if (outcome.isOk()) {
        retryDelayMs = RETRY_DELAY_MS;
        if (!outcome.value) await this.#clock.sleep(MIN_DELAY_MS, signal);
        continue;
      }
      this.#onLogFailure(outcome.error);
      await this.#clock.sleep(retryDelayMs * (0.5 + this.#random()), signal);
      retryDelayMs = Math.min(2 * retryDelayMs, MAX_RETRY_DELAY_MS);
    }
  }

  /** Reads one page; tells whether the state now contains all the log held. */
  async readOnce(
    options: { deadlineMs: number; waitMs?: number; signal?: AbortSignal },
  ): Promise<Outcome<boolean>> {
    const startedMs = this.#clock.nowMs();
    const { nextOffset, isGrounded: wasGrounded } = this.#holder;
    const fromOffset = Math.max(nextOffset, this.#searchOffset);
    const read = await this.#log.read(CONFIG_STREAM, fromOffset, {
      ...options,
      limit: PAGE_LIMIT,
    });
    return read.map((page) => {
      this.#applyPage(page, fromOffset);
      const isCaughtUp = this.#holder.nextOffset >= page.nextOffset;
      if (isCaughtUp) {
        this.#holder.markGrounded();
        this.#holder.advanceAsOf(startedMs, page.nextOffset);
        this.#writeIfDue(page);
      }
      const isNew = this.#holder.nextOffset > nextOffset;
      if (isCaughtUp) this.#onRead(this.#shouldAnnounce(isNew, wasGrounded));
      return isCaughtUp;
    });
  }

  /**
   * Whether the other hosts should hear at once of what was read: a change that
   * waits for their word. The first reader speaks up when it sees the change,
   * the others when it still waits at their next read.
   */
  #shouldAnnounce(isNew: boolean, wasGrounded: boolean): boolean {
    const rank = this.#rank();
    if (!wasGrounded) return rank === 0;
    const { hasPending, stableOffset } = this.#holder;
    const isAnnounced = stableOffset === this.#announcedOffset;
    if (!hasPending || isAnnounced || rank >= READER_COUNT) return false;
    if (isNew !== (rank === 0)) return false;
    this.#announcedOffset = stableOffset;
    return true;
  }

  /** Time until this host should read; 0 or less when it should now. */
  #readDelayMs(): number {
    if (this.#rank() < READER_COUNT) return 0;
    const sinceStartMs = this.#clock.nowMs() - this.#startedMs;
    const ageMs = Math.min(this.#holder.ageMs, sinceStartMs);
    return this.#readTimeoutMs() - ageMs;
  }

  #applyPage(page: LogPage, fromOffset: number): void {
    if (page.firstOffset > this.#holder.nextOffset) {
      return this.#searchSnapshot(page, fromOffset);
    }
    this.#searchOffset = 0;
    if (fromOffset <= this.#holder.nextOffset) {
      this.#holder.applyLogRecords(page.records);
    }
  }

  /** Retention has passed this host: only a snapshot leads on. */
  #searchSnapshot(page: LogPage, fromOffset: number): void {
    for (const record of page.records) {
      const data = parseRecord(record);
      if (data?.kind !== "snapshot") continue;
      if (data.nextOffset < page.firstOffset) continue;
      const config = parseConfig(data.config);
      if (config.isErr()) continue;
      const { version, offset, nextOffset } = data;
      this.#searchOffset = 0;
      return this.#holder.install({
        state: { version, offset, config: config.value },
        nextOffset,
        results: [],
      });
    }
    const last = page.records.at(-1);
    this.#searchOffset = last === undefined ? fromOffset : last.offset + 1;
    if (this.#searchOffset >= page.nextOffset) this.#searchOffset = 0;
  }

  #writeIfDue(page: LogPage): void {
    if (this.#rank() >= READER_COUNT || this.#holder.hasPending) return;
    const nowMs = this.#clock.nowMs();
    if (this.#isSnapshotDue(page)) {
      if (nowMs - this.#lastSnapshotAttemptMs < SNAPSHOT_RETRY_DELAY_MS) return;
      this.#lastSnapshotAttemptMs = nowMs;
      const { state, nextOffset } = this.#holder.ledger;
      this.#write({ kind: "snapshot", ...state, nextOffset });
    } else this.#writeAcceptedIfDue(nowMs);
  }

  /** Tells hosts that start later that the last change was accepted. */
  #writeAcceptedIfDue(nowMs: number): void {
    const { state, nextOffset, acceptedOffset } = this.#holder.ledger;
    if (state.offset < acceptedOffset) {
      this.#nextAcceptedAttemptMs = Infinity;
      return;
    }
    if (this.#nextAcceptedAttemptMs === Infinity) {
      this.#nextAcceptedAttemptMs = nowMs +
        this.#rank() * ACCEPTED_RETRY_DELAY_MS;
    }
    if (nowMs < this.#nextAcceptedAttemptMs) return;
    this.#nextAcceptedAttemptMs = nowMs + ACCEPTED_RETRY_DELAY_MS;
    this.#write({ kind: "accepted", stableOffset: nextOffset });
  }

  /** Another try follows if the answer is lost; a second copy does no harm. */
  #write(data: object): void {
    const entry = {
      id: this.#createId(),
      data: { ...data, writer: this.#host },
    };
    const deadlineMs = this.#clock.nowMs() + CALL_TIMEOUT_MS;
    void this.#log.append(CONFIG_STREAM, [entry], { deadlineMs });
  }

  #isSnapshotDue({ firstOffset, nextOffset }: LogPage): boolean {
    if (nextOffset === 0) return false;
    const last = this.#holder.ledger.lastSnapshot;
    const isCovered = (last?.nextOffset ?? 0) >= firstOffset &&
      (last?.offset ?? 0) >= firstOffset;
    if (!isCovered) return true;
    const rankFactor = 1 + this.#rank() * SNAPSHOT_RANK_STEP;
    const { everyRecords, everyMs } = this.#snapshotPolicy;
    const recordCount = nextOffset - (last?.nextOffset ?? 0);
    if (recordCount >= everyRecords * rankFactor) return true;
    const sinceWallMs = last?.atWallMs ?? this.#startedWallMs;
    return this.#clock.wallMs() - sinceWallMs >= everyMs * rankFactor;
  }
}

/**
 * Follows a keyed log of the store: reads a snapshot of the newest records,
 * then the records appended after it. A complete read advances the watermark to
 * the read's start. If the next offset has expired, a new snapshot is read.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { Emitter, type Event } from "../common/emitter.ts";
import type { ILog } from "../common/logging.ts";
import type { IKeyedLog } from "../ports/services.ts";
import type { KeyedRecord, RelayedRead } from "../ports/types.ts";
import { addMs, readClocks, Watermark } from "./watermark.ts";

/** First delay after a failed call; a healthy store responds in milliseconds. */
const INITIAL_RETRY_MS = 150;
/** Longest delay between retries, well below the limit on the configuration's age. */
const MAX_RETRY_MS = 600;

/** Minimum delay between reads that do not wait at the store. */
const CATCH_UP_PAUSE_MS = 10;
/** Consecutive failures that count as an outage; a single one may be a lost packet. */
const OUTAGE_FAILURES = 2;

export interface KeyedFollowerOptions {
  readonly name: string;
  readonly source: IKeyedLog;
  /** How long a read waits at the store for a new record. */
  readonly waitMs: number;
  /** Delay between reads that the log itself answers. */
  readonly pauseMs: number;
  readonly clock: Clock;
  readonly log: ILog;
  readonly random?: () => number;
}

/** A batch of records in the order of the log. */
export interface KeyedBatch {
  /** `records` holds every key that exists. */
  readonly isSnapshot: boolean;
  /** `records` reaches the end of the log as of the start of the read. */
  readonly isComplete: boolean;
  readonly records: readonly KeyedRecord[];
  /** Offset of the next read. */
  readonly nextOffset: number;
}

interface FetchResult {
  readonly batch: KeyedBatch;
  readonly relay: RelayedRead | undefined;
}

export class KeyedFollower {
  readonly #options: KeyedFollowerOptions;
  readonly #onBatch = new Emitter<KeyedBatch>();
  readonly #onWatermark = new Emitter<void>();
  readonly #random: () => number;
  #nextOffset: number | undefined;
  readonly #watermark: Watermark;
  #failures = 0;
  #recoveredMs = -Infinity;

  /** Fires for each batch, including empty ones. */
  readonly onBatch: Event<KeyedBatch> = this.#onBatch.event;

  /** Fires after each complete read, when the watermark may have advanced. */
  readonly onWatermark: Event<void> = this.#onWatermark.event;

  constructor(options: KeyedFollowerOptions) {
    this.#options = options;
    this.#random = options.random ?? Math.random;
    this.#watermark = new Watermark(options.clock);
  }

  /**
   * Age of the watermark; infinite before the first complete read and while the
   * elapsed time is unknown.
   */
  get ageMs(): number {
    return this.#watermark.ageMs;
  }

  /** Monotonic time up to which all records are known; undefined if unknown. */
  get watermarkMs(): number | undefined {
    const { ageMs } = this;
    return ageMs === Infinity ? undefined : this.#options.clock.nowMs() - ageMs;
  }

  /** False after consecutive failures, which show an outage earlier than `ageMs` does. */
  get isSourceReachable(): boolean {
    return this.#failures < OUTAGE_FAILURES;
  }

  /**
   * Time since the first success after a failure, on the monotonic clock; 0
   * during failures.
   */
  get sinceRecoveryMs(): number {
    if (this.#failures > 0) return 0;
    return this.#options.clock.nowMs() - this.#recoveredMs;
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, pauseMs } = this.#options;
    while (!signal.aborted) {
      const answer = await this.#poll(signal);
      // Another host delays its answer while it has nothing new, so no pause is needed.
      const isQuick = answer === "relayed" || this.ageMs === Infinity;
      const answeredMs = Math.max(
        answer === "relayed" ? 0 : pauseMs,
        isQuick ? CATCH_UP_PAUSE_MS : 0,
      );
      const isFailed = answer === "failed";
      await clock.sleep(isFailed ? this.#retryMs() : answeredMs, signal);
    }
  }

  async #poll(signal: AbortSignal): Promise<"direct" | "relayed" | "failed"> {
    const started = readClocks(this.#options.clock);
    try {
      const fetched = await this.#fetch();
      if (signal.aborted) return "direct";
      this.#recordSuccess();
      // A read of an expired offset does not show which records are the newest.
      if (fetched === undefined) return "direct";
      const { batch, relay } = fetched;
      if (relay !== undefined) this.#applyRecovery(relay.sinceRecoveryMs);
      this.#onBatch.fire(batch);
      if (batch.isComplete) {
        this.#watermark.renew(addMs(started, relay?.watermarkDeltaMs ?? 0));
        this.#onWatermark.fire();
      }
      return relay === undefined ? "direct" : "relayed";
    } catch (error) {
      this.#recordFailure(error);
      return "failed";
    }
  }

  /** Treats an outage reported by another host as one seen by this host. */
  #applyRecovery(sinceRecoveryMs: number): void {
    const recoveredMs = this.#options.clock.nowMs() - sinceRecoveryMs;
    this.#recoveredMs = Math.max(this.#recoveredMs, recoveredMs);
  }

  async #fetch(): Promise<FetchResult | undefined> {
    const { source, waitMs } = this.#options;
    if (this.#nextOffset === undefined) {
      const snapshot = await source.newest();
      this.#nextOffset = snapshot.nextOffset;
      // A snapshot is read in pages; the next read returns the records appended
      // meanwhile.
      const { records, nextOffset } = snapshot;
      return {
        batch: { isSnapshot: true, isComplete: false, records, nextOffset },
        relay: undefined,
      };
    }
    // While recovering, an immediate response matters more than the next record.
    const isUpToDate = this.#failures === 0 && this.ageMs !== Infinity;
    const readWaitMs = isUpToDate ? waitMs : 0;
    const read = await source.read(this.#nextOffset, readWaitMs);
    if (read.kind === "expired") {
      this.#options.log.warn("store offset expired; reading a new snapshot", {
        feed: this.#options.name,
        offset: this.#nextOffset,
      });
      this.#nextOffset = undefined;
      return undefined;
    }
    this.#nextOffset = read.nextOffset;
    const { records, nextOffset, isComplete, relay } = read;
    return {
      batch: { isSnapshot: false, isComplete, records, nextOffset },
      relay,
    };
  }

  #recordSuccess(): void {
    if (this.#failures === 0) return;
    this.#options.log.info("store reads recovered", {
      feed: this.#options.name,
      failures: this.#failures,
      ageMs: Math.round(this.ageMs),
    });
    this.#failures = 0;
    this.#recoveredMs = this.#options.clock.nowMs();
  }

  #recordFailure(error: unknown): void {
    this.#failures++;
    // Logs the first failure and every 20th, not each retry.
    if (this.#failures !== 1 && this.#failures % 20 !== 0) return;
    this.#options.log.warn("store read failed", {
      feed: this.#options.name,
      failures: this.#failures,
      ageMs: Math.round(this.ageMs),
      reason: String(error),
    });
  }

  #retryMs(): number {
    const ceilingMs = Math.min(
      MAX_RETRY_MS,
      INITIAL_RETRY_MS * 2 ** Math.max(0, this.#failures - 1),
    );
    return ceilingMs * (0.5 + this.#random() / 2);
  }
}

/**
 * Follows a keyed log of the store: a snapshot of the newest records, then
 * what is appended after it. Each successful call proves that all records up
 * to its start are known. History that has expired leads to a new snapshot.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { Emitter, type Event } from "../common/emitter.ts";
import type { ILog } from "../common/logging.ts";
import type { IKeyedLog } from "../ports/services.ts";
import type { KeyedRecord, RelayedRead } from "../ports/types.ts";
import { addMs, readClocks, Watermark } from "./watermark.ts";

/** First pause after a failed call; the store answers in milliseconds when it is well. */
const INITIAL_RETRY_MS = 150;
/** Longest pause after failed calls, well inside the bound on stale configuration. */
const MAX_RETRY_MS = 600;

/** Reads that don't wait at the store are at least this far apart. */
const CATCH_UP_PAUSE_MS = 10;
/** One failed call may be a lost packet; two in a row are an outage. */
const OUTAGE_FAILURES = 2;

/** Options of a follower. */
export interface KeyedFollowerOptions {
  readonly name: string;
  readonly source: IKeyedLog;
  /** Time that a read waits at the store for a record. */
  readonly waitMs: number;
  /** Pause between reads that the log itself answers. */
  readonly pauseMs: number;
  readonly clock: Clock;
  readonly log: ILog;
  readonly random?: () => number;
}

/** A batch of records in the order of the log. */
export interface KeyedBatch {
  /** All keys that exist are in `records`. */
  readonly isSnapshot: boolean;
  /** No record that the store held when it was asked is missing. */
  readonly isComplete: boolean;
  readonly records: readonly KeyedRecord[];
  /** Where the next read begins. */
  readonly nextOffset: number;
}

interface FetchResult {
  readonly batch: KeyedBatch;
  readonly relay: RelayedRead | undefined;
}

/** Follows one keyed log until it is stopped. */
export class KeyedFollower {
  readonly #options: KeyedFollowerOptions;
  readonly #onBatch = new Emitter<KeyedBatch>();
  readonly #onWatermark = new Emitter<void>();
  readonly #random: () => number;
  #nextOffset: number | undefined;
  readonly #watermark: Watermark;
  #failures = 0;
  #recoveredMs = -Infinity;

  /** Fires for each batch, also an empty one. */
  readonly onBatch: Event<KeyedBatch> = this.#onBatch.event;

  /** Fires when all records up to a newer moment are known. */
  readonly onWatermark: Event<void> = this.#onWatermark.event;

  constructor(options: KeyedFollowerOptions) {
    this.#options = options;
    this.#random = options.random ?? Math.random;
    this.#watermark = new Watermark(options.clock);
  }

  /** Age of the newest proof that nothing newer was missed; infinite before the first. */
  get ageMs(): number {
    return this.#watermark.ageMs;
  }

  /** Monotonic moment up to which all records are known; undefined without a proof. */
  get watermarkMs(): number | undefined {
    const { ageMs } = this;
    return ageMs === Infinity ? undefined : this.#options.clock.nowMs() - ageMs;
  }

  /** False after calls in a row have failed; sooner than the age tells. */
  get isSourceReachable(): boolean {
    return this.#failures < OUTAGE_FAILURES;
  }

  /** Time since the first success after a failure, on the monotonic clock. */
  get sinceRecoveryMs(): number {
    if (this.#failures > 0) return 0;
    return this.#options.clock.nowMs() - this.#recoveredMs;
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, pauseMs } = this.#options;
    while (!signal.aborted) {
      const answer = await this.#poll(signal);
      // Another host answers when there is something new, so nothing is gained by a pause.
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
      // An expired history says nothing about what is newest.
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

  /** An outage that another host saw counts as if this host had seen it. */
  #applyRecovery(sinceRecoveryMs: number): void {
    const recoveredMs = this.#options.clock.nowMs() - sinceRecoveryMs;
    this.#recoveredMs = Math.max(this.#recoveredMs, recoveredMs);
  }

  async #fetch(): Promise<FetchResult | undefined> {
    const { source, waitMs } = this.#options;
    if (this.#nextOffset === undefined) {
      const snapshot = await source.newest();
      this.#nextOffset = snapshot.nextOffset;
      // Pages are read one after the other; the next read tells what came between.
      const { records, nextOffset } = snapshot;
      return {
        batch: { isSnapshot: true, isComplete: false, records, nextOffset },
        relay: undefined,
      };
    }
    // Out of touch, an answer at once is worth more than the next record.
    const isUpToDate = this.#failures === 0 && this.ageMs !== Infinity;
    const readWaitMs = isUpToDate ? waitMs : 0;
    const read = await source.read(this.#nextOffset, readWaitMs);
    if (read.kind === "expired") {
      this.#options.log.warn("store history expired", {
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
    this.#options.log.info("store regained", {
      feed: this.#options.name,
      failures: this.#failures,
      ageMs: Math.round(this.ageMs),
    });
    this.#failures = 0;
    this.#recoveredMs = this.#options.clock.nowMs();
  }

  #recordFailure(error: unknown): void {
    this.#failures++;
    // One line a loss and a few reminders, not one a try.
    if (this.#failures !== 1 && this.#failures % 20 !== 0) return;
    this.#options.log.warn("store lost", {
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

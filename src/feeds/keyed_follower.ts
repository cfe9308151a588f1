/**
 * Follows a keyed log of the store: reads a snapshot of the newest records,
 * then the records appended after it. A complete read advances the watermark to
 * the read's start. If the next offset has expired, a new snapshot is read. So
 * it is if the log's era rises: offsets of the era before may name other records,
 * and until the era is settled no read proves which records are the newest.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { Emitter, type Event } from "../common/emitter.ts";
import type { ILog } from "../common/logging.ts";
import { InvalidCallError } from "../ports/invalid_call_error.ts";
import type { IKeyedLog } from "../ports/services.ts";
import type { KeyedRecord, RelayedRead } from "../ports/types.ts";
import type { EraTracker } from "./era_tracker.ts";
import { addMs, readClocks, Watermark } from "./watermark.ts";

/** First delay after a failed call; a healthy store responds in milliseconds. */
const INITIAL_RETRY_MS = 150;
/** Longest delay between retries, well below the limit on the configuration's age. */
const MAX_RETRY_MS = 600;

/**
 * Age up to which a wait for the next record extends the proof: two waits of
 * 0.9 s, as a read that found nothing new dates from its start. After a failure
 * the next read waits less, so that the host does not become unready meanwhile.
 */
const MAX_PROOF_AGE_MS = 1_800;
/** Least wait for the next record while there is a proof. */
const MIN_WAIT_MS = 100;
/** Minimum delay between reads that do not wait at the store. */
const CATCH_UP_PAUSE_MS = 10;
/**
 * Pauses after reads in sequence that brought nothing although they did not wait,
 * or whose offset had expired. The first two are not unusual.
 */
const FRUITLESS_PAUSES_MS = [0, 0, 0, 25, 50, 100, 200, 400, 600];
/** Spreads the snapshots that all hosts read when the era rises. */
const REBUILD_JITTER_MS = 200;
/** Consecutive failures that count as an outage; a single one may be a lost packet. */
const OUTAGE_FAILURES = 2;
/** The first failure and each of this number are logged, not each retry. */
const LOGGED_FAILURES = 20;

export interface KeyedFollowerOptions {
  readonly name: string;
  readonly source: IKeyedLog;
  /** How long a read waits at the store for a new record. */
  readonly waitMs: number;
  /** Delay between reads that the log itself answers. */
  readonly pauseMs: number;
  readonly eras: EraTracker;
  /** Whether a record shows that what the log lost has been written again. */
  readonly isRewritten?: (record: KeyedRecord) => boolean;
  readonly clock: Clock;
  readonly log: ILog;
  readonly random?: () => number;
}

/** A batch of records in the order of the log. */
export interface KeyedBatch {
  /** `records` holds every key that exists. */
  readonly isSnapshot: boolean;
  /**
   * A snapshot of a later era than the batches before. It may lack records that
   * were read, and hold some that were replaced since.
   */
  readonly isRestored?: boolean;
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

/** Offset of the next read, and the era in which it is valid. */
interface Position {
  readonly era: number | undefined;
  readonly offset: number;
}

export class KeyedFollower {
  readonly #options: KeyedFollowerOptions;
  readonly #onBatch = new Emitter<KeyedBatch>();
  readonly #onWatermark = new Emitter<void>();
  readonly #random: () => number;
  #position: Position | undefined;
  /** Position that was dropped because the era rose. */
  #droppedPosition: Position | undefined;
  readonly #watermark: Watermark;
  /** Era of the last record that showed that the log is complete again. */
  #rewrittenEra: number | undefined;
  /** Era in which the watermark was last renewed. */
  #watermarkEra: number | undefined;
  #failures = 0;
  /** Reads in sequence after which there was no reason to read again at once. */
  #fruitlessReads = 0;
  #isAfterSnapshot = false;
  #invalidCalls = 0;
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

  /** Era of the batches; undefined before the first and for a log without eras. */
  get era(): number | undefined {
    return this.#position?.era;
  }

  /**
   * Monotonic time up to which all records of the present era are known;
   * undefined if unknown.
   */
  get watermarkMs(): number | undefined {
    const { ageMs, era } = this;
    if (ageMs === Infinity || this.#watermarkEra !== era) return undefined;
    return this.#options.clock.nowMs() - ageMs;
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
        this.#fruitlessPauseMs,
      );
      const isFailed = answer === "failed";
      await clock.sleep(isFailed ? this.#retryMs() : answeredMs, signal);
    }
  }

  async #poll(signal: AbortSignal): Promise<"direct" | "relayed" | "failed"> {
    const started = readClocks(this.#options.clock);
    const wasSettled = this.#settlesInMs === 0;
    try {
      const fetched = await this.#fetch(signal);
      if (signal.aborted) return "direct";
      this.#recordSuccess();
      // Without a batch it is not known which records are the newest.
      if (fetched === undefined) return "direct";
      const { batch, relay } = fetched;
      if (relay !== undefined) this.#applyRecovery(relay.sinceRecoveryMs);
      this.#onBatch.fire(batch);
      if (batch.isComplete && wasSettled) {
        this.#watermarkEra = this.era;
        this.#watermark.renew(addMs(started, relay?.watermarkDeltaMs ?? 0));
        this.#onWatermark.fire();
      }
      return relay === undefined ? "direct" : "relayed";
    } catch (error) {
      // A call that the store cannot read says nothing about the store.
      if (error instanceof InvalidCallError) this.#recordInvalidCall(error);
      else this.#recordFailure(error);
      return "failed";
    }
  }

  /** Treats an outage reported by another host as one seen by this host. */
  #applyRecovery(sinceRecoveryMs: number): void {
    const recoveredMs = this.#options.clock.nowMs() - sinceRecoveryMs;
    this.#recoveredMs = Math.max(this.#recoveredMs, recoveredMs);
  }

  async #fetch(signal: AbortSignal): Promise<FetchResult | undefined> {
    this.#dropOutdatedPosition();
    const position = this.#position;
    this.#isAfterSnapshot = position === undefined;
    if (position === undefined) return await this.#fetchSnapshot(signal);
    const { source, clock } = this.#options;
    const waitMs = Math.min(this.#options.waitMs, this.#maxWaitMs);
    const startedMs = clock.nowMs();
    const read = await this.#untilEraChanges(
      source.read(position.offset, waitMs),
    );
    if (read === undefined) return undefined;
    this.#requireCurrent(read.era);
    const era = read.era ?? position.era;
    // The era rose while the read was on its way.
    if (position.era !== undefined && era !== position.era) return undefined;
    if (read.kind === "expired") {
      this.#recordExpired(position);
      return undefined;
    }
    const { records, nextOffset, isComplete, relay } = read;
    const hasWaited = clock.nowMs() - startedMs >= waitMs / 2;
    const isUseful = nextOffset > position.offset || (isComplete && hasWaited);
    if (isUseful || relay !== undefined) this.#fruitlessReads = 0;
    else this.#fruitlessReads++;
    this.#position = { era, offset: nextOffset };
    const isRewritten = this.#settlesInMs > 0 &&
      records.some((record) => this.#options.isRewritten?.(record));
    if (isRewritten) this.#rewrittenEra = era;
    return {
      batch: { isSnapshot: false, isComplete, records, nextOffset },
      relay,
    };
  }

  #recordExpired({ offset }: Position): void {
    const { log, name } = this.#options;
    this.#position = undefined;
    const count = ++this.#fruitlessReads;
    if (count !== 1 && count % LOGGED_FAILURES !== 0) return;
    log.warn("store offset expired; reading a new snapshot", {
      feed: name,
      offset,
    });
  }

  /** A snapshot is read on from at once. */
  get #fruitlessPauseMs(): number {
    if (this.#isAfterSnapshot) return 0;
    const last = FRUITLESS_PAUSES_MS.length - 1;
    return FRUITLESS_PAUSES_MS[Math.min(last, this.#fruitlessReads)];
  }

  /** Time until reads in the present era prove which records are the newest. */
  get #settlesInMs(): number {
    const { eras } = this.#options;
    const isRewritten = this.#rewrittenEra !== undefined &&
      this.#rewrittenEra === eras.current;
    return isRewritten ? 0 : eras.settlesInMs;
  }

  /** Longest useful wait for the next record. */
  get #maxWaitMs(): number {
    const settlesInMs = this.#settlesInMs;
    if (settlesInMs > 0) return settlesInMs;
    // Without a recent proof, an immediate response matters more.
    const hasProof = this.#failures === 0 && this.ageMs !== Infinity &&
      this.#watermarkEra === this.era;
    return hasProof ? Math.max(MIN_WAIT_MS, MAX_PROOF_AGE_MS - this.ageMs) : 0;
  }

  async #fetchSnapshot(signal: AbortSignal): Promise<FetchResult | undefined> {
    const { source, clock } = this.#options;
    const dropped = this.#droppedPosition;
    if (dropped !== undefined) {
      await clock.sleep(this.#random() * REBUILD_JITTER_MS, signal);
    }
    const snapshot = await this.#untilEraChanges(source.newest());
    if (snapshot === undefined) return undefined;
    this.#requireCurrent(snapshot.era);
    // A snapshot is read in pages; the next read returns the records appended
    // meanwhile.
    const { records, nextOffset, era } = snapshot;
    this.#position = { era, offset: nextOffset };
    this.#droppedPosition = undefined;
    if (dropped !== undefined) this.#logRebuilt(dropped, this.#position);
    return {
      batch: {
        isSnapshot: true,
        isRestored: dropped !== undefined,
        isComplete: false,
        records,
        nextOffset,
      },
      relay: undefined,
    };
  }

  #dropOutdatedPosition(): void {
    const position = this.#position;
    if (position === undefined) return;
    if (this.#options.eras.isCurrent(position.era)) return;
    this.#position = undefined;
    this.#droppedPosition = position;
  }

  #requireCurrent(era: number | undefined): void {
    const { eras } = this.#options;
    if (eras.isCurrent(era)) return;
    throw new Error(`answer of era ${era}, the present one is ${eras.current}`);
  }

  /**
   * Resolves to undefined if the era rises or is settled first; the result of
   * the call is then dropped.
   */
  #untilEraChanges<T>(call: Promise<T>): Promise<T | undefined> {
    const { eras } = this.#options;
    return new Promise((resolve, reject) => {
      const subscriptions = [
        eras.onAdvance(({ from }) => {
          if (from !== undefined) resolve(undefined);
        }),
        eras.onSettled(() => resolve(undefined)),
      ];
      call.then(resolve, reject).finally(() => {
        for (const subscription of subscriptions) subscription.dispose();
      });
    });
  }

  #logRebuilt(dropped: Position, position: Position): void {
    this.#options.log.warn("store came back from an older copy", {
      feed: this.#options.name,
      droppedEra: dropped.era,
      droppedOffset: dropped.offset,
      era: position.era,
      offset: position.offset,
    });
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
    if (this.#failures !== 1 && this.#failures % LOGGED_FAILURES !== 0) return;
    this.#options.log.warn("store read failed", {
      feed: this.#options.name,
      failures: this.#failures,
      ageMs: Math.round(this.ageMs),
      reason: String(error),
    });
  }

  #recordInvalidCall({ call, message }: InvalidCallError): void {
    this.#invalidCalls++;
    if (this.#invalidCalls % LOGGED_FAILURES !== 1) return;
    this.#options.log.error("store call was malformed", {
      feed: this.#options.name,
      call,
      count: this.#invalidCalls,
      ageMs: Math.round(this.ageMs),
      reason: message,
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

/**
 * A keyed log that one host in each failure domain reads from the store. The
 * other hosts query that host, and read from the store if it cannot answer.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { Emitter, type Event } from "../common/emitter.ts";
import type { IMetrics } from "../common/bucket_metrics.ts";
import { InvalidCallError } from "../ports/invalid_call_error.ts";
import type { IKeyedLog } from "../ports/services.ts";
import type { HostRecord, KeyedRead, KeyedSnapshot } from "../ports/types.ts";
import type { LogAnswerRead, LogQuery } from "./log_messages.ts";

/** A host that reads without a delay advances its watermark at least every 0.9 s. */
const QUERY_TIMEOUT_MS = 1_250;
/**
 * Maximum age of a relayed watermark; an older answer is discarded in favour of
 * a read.
 */
const MAX_AGE_MS = 2_000;

/** A host that has just answered is close by and alive. */
const FETCH_TIMEOUT_MS = 500;

/**
 * Queries a host; resolves to undefined if it cannot answer, or not within
 * `timeoutMs`, and to "large" if its answer does not fit in a datagram.
 */
export type QueryLog = (
  host: HostRecord,
  query: Omit<LogQuery, "id">,
  timeoutMs: number,
) => Promise<LogAnswerRead | "large" | undefined>;

/** Fetches an answer of any size; resolves to undefined on a failure. */
export type FetchLog = (
  host: HostRecord,
  query: Omit<LogQuery, "id">,
  timeoutMs: number,
) => Promise<LogAnswerRead | undefined>;

export interface SharedLogOptions {
  /** Name of the log, the same on all hosts. */
  readonly name: string;
  readonly source: IKeyedLog;
  /**
   * Maximum wait per read at the source; 0 suits logs whose records arrive too
   * often to wait for one.
   */
  readonly sourceWaitMs: number;
  readonly ask: QueryLog;
  /** Without it, large records are read from the source. */
  readonly fetch?: FetchLog;
  readonly clock: Clock;
  readonly metrics: IMetrics;
  /** The highest era that this host has met. */
  readonly era: () => number | undefined;
  /** The host to query; undefined if this host reads the source. */
  readonly reader: () => HostRecord | undefined;
}

/** Reads through another host if one already reads the source. */
export class SharedLog implements IKeyedLog {
  readonly #options: SharedLogOptions;
  readonly #onSourceFailure = new Emitter<void>();
  #isSourceReachable = false;

  /** Fires when this host's own read of the source has failed. */
  readonly onSourceFailure: Event<void> = this.#onSourceFailure.event;

  constructor(options: SharedLogOptions) {
    this.#options = options;
  }

  /** Whether this host's last read of the source succeeded. */
  get isSourceReachable(): boolean {
    return this.#isSourceReachable;
  }

  async read(fromOffset: number, waitMs: number): Promise<KeyedRead> {
    const reader = this.#options.reader();
    if (reader === undefined) {
      const sourceWaitMs = Math.min(waitMs, this.#options.sourceWaitMs);
      return await this.#readSource(() =>
        this.#options.source.read(fromOffset, sourceWaitMs)
      );
    }
    const startedMs = this.#options.clock.nowMs();
    const read = await this.#queryReader(reader, fromOffset, waitMs > 0);
    if (read !== undefined) return read;
    // A reader that can't answer says so at once; reads then wait at the source.
    const remainingMs = QUERY_TIMEOUT_MS -
      (this.#options.clock.nowMs() - startedMs);
    const sourceWaitMs = Math.max(
      0,
      Math.min(waitMs, this.#options.sourceWaitMs, remainingMs),
    );
    return await this.#readSource(() =>
      this.#options.source.read(fromOffset, sourceWaitMs)
    );
  }

  newest(): Promise<KeyedSnapshot> {
    return this.#readSource(() => this.#options.source.newest());
  }

  async #readSource<T>(call: () => Promise<T>): Promise<T> {
    this.#count("source");
    try {
      const read = await call();
      this.#isSourceReachable = true;
      return read;
    } catch (error) {
      if (!(error instanceof InvalidCallError)) {
        this.#isSourceReachable = false;
        this.#onSourceFailure.fire();
      }
      throw error;
    }
  }

  async #queryReader(
    reader: HostRecord,
    fromOffset: number,
    mayWait: boolean,
  ): Promise<KeyedRead | undefined> {
    const { name, ask, fetch, clock } = this.#options;
    const startedMs = clock.nowMs();
    const query = { log: name, fromOffset, mayWait, era: this.#options.era() };
    const answer = await ask(
      reader,
      fetch === undefined ? query : { ...query, canFetch: true },
      QUERY_TIMEOUT_MS,
    );
    const read = answer === "large"
      ? await this.#fetchLarge(reader, query, startedMs)
      : answer;
    if (read === undefined || !isUsable(read, clock.nowMs() - startedMs)) {
      this.#count("host-without-answer");
      return undefined;
    }
    this.#count("host");
    const {
      records,
      nextOffset,
      watermarkDeltaMs,
      sinceRecoveryMs,
      era,
    } = read;
    const relay = { watermarkDeltaMs, sinceRecoveryMs };
    return {
      kind: "records",
      records,
      nextOffset,
      isComplete: true,
      era,
      relay,
    };
  }

  /** The watermark of the result is relative to `sinceMs`, like that of an answer. */
  async #fetchLarge(
    reader: HostRecord,
    query: Omit<LogQuery, "id">,
    sinceMs: number,
  ): Promise<LogAnswerRead | undefined> {
    const { fetch, clock } = this.#options;
    const delayMs = clock.nowMs() - sinceMs;
    const read = await fetch?.(reader, query, FETCH_TIMEOUT_MS);
    return read &&
      { ...read, watermarkDeltaMs: read.watermarkDeltaMs + delayMs };
  }

  #count(from: string): void {
    const { metrics, name } = this.#options;
    metrics.count("jackdawshift_log_reads_total", { log: name, from });
  }
}

function isUsable(read: LogAnswerRead, elapsedMs: number): boolean {
  // A watermark later than the answer's arrival is invalid.
  return read.watermarkDeltaMs <= elapsedMs &&
    elapsedMs - read.watermarkDeltaMs <= MAX_AGE_MS;
}

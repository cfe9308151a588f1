/**
 * A keyed log of which one host in each failure domain reads the original; the
 * others ask that host, and read for themselves when it can't tell.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { IMetrics } from "../common/light_metrics.ts";
import type { IKeyedLog } from "../ports/services.ts";
import type { HostRecord, KeyedRead, KeyedSnapshot } from "../ports/types.ts";
import type { LogAnswerRead, LogQuery } from "./log_messages.ts";

/** A host that reads without pause proves a newer moment at least each 0.9 s. */
const QUERY_TIMEOUT_MS = 1_250;
/** What another host knows must be at most this old to take the place of a read. */
const MAX_AGE_MS = 2_000;

/** Asks a host; undefined where it can't tell, or not within `timeoutMs`. */
export type QueryLog = (
  host: HostRecord,
  question: Omit<LogQuery, "id">,
  timeoutMs: number,
) => Promise<LogAnswerRead | undefined>;

/** Options of a shared log. */
export interface SharedLogOptions {
  /** The same on all hosts. */
  readonly name: string;
  readonly source: IKeyedLog;
  /** Longest wait at the source; its records may come too often to wait for one. */
  readonly sourceWaitMs: number;
  readonly ask: QueryLog;
  readonly clock: Clock;
  readonly metrics: IMetrics;
  /** The host to ask; undefined where this host reads the source. */
  readonly reader: () => HostRecord | undefined;
}

/** Reads from another host where one reads the source already. */
export class SharedLog implements IKeyedLog {
  readonly #options: SharedLogOptions;
  #isSourceReachable = false;

  constructor(options: SharedLogOptions) {
    this.#options = options;
  }

  /** Whether this host's last read of the source was answered. */
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
    const read = await this.#queryReader(reader, fromOffset, waitMs > 0);
    if (read !== undefined) return read;
    return await this.#readSource(() =>
      this.#options.source.read(fromOffset, 0)
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
      this.#isSourceReachable = false;
      throw error;
    }
  }

  async #queryReader(
    reader: HostRecord,
    fromOffset: number,
    mayWait: boolean,
  ): Promise<KeyedRead | undefined> {
    const { name, ask, clock } = this.#options;
    const startedMs = clock.nowMs();
    const read = await ask(
      reader,
      { log: name, fromOffset, mayWait },
      QUERY_TIMEOUT_MS,
    );
    if (read === undefined || !isUsable(read, clock.nowMs() - startedMs)) {
      this.#count("host-without-answer");
      return undefined;
    }
    this.#count("host");
    const {
      records,
      nextOffset,
      watermarkDeltaMs: watermarkDeltaMs,
      sinceRecoveryMs,
    } = read;
    const relay = { watermarkDeltaMs: watermarkDeltaMs, sinceRecoveryMs };
    return { kind: "records", records, nextOffset, isComplete: true, relay };
  }

  #count(from: string): void {
    const { metrics, name } = this.#options;
    metrics.count("jackdawshift_log_reads_total", { log: name, from });
  }
}

function isUsable(read: LogAnswerRead, elapsedMs: number): boolean {
  // A moment after the answer's arrival can't have been proven.
  return read.watermarkDeltaMs <= elapsedMs &&
    elapsedMs - read.watermarkDeltaMs <= MAX_AGE_MS;
}

/**
 * A log in memory for tests, with outages, cuts, lost answers and retention.
 *
 * @module
 */

import { Ok } from "ts-results-es";
import type { Clock } from "../../common/clock.ts";
import { mayHaveRun, notRun, type Outcome } from "../../common/verdict.ts";
import type { ILogClient } from "../../clients/services.ts";
import type { LogEntry, LogPage, LogRecord } from "../../clients/types.ts";

const DEFAULT_LIMIT = 1_000;

/** Faults that a test switches on. */
export interface FakeLogFaults {
  /** Whether the host cannot reach the log. */
  isUnreachable(host: string): boolean;
  /** Whether an answer is lost after the act. */
  losesReply(): boolean;
  /** Time of one way. */
  delayMs(): number;
}

const NO_FAULTS: FakeLogFaults = {
  isUnreachable: () => false,
  losesReply: () => false,
  delayMs: () => 1,
};

/** One stream, shared by all clients; see {@link FakeLog.client}. */
export class FakeLog {
  readonly records: LogRecord[] = [];
  readonly faults: FakeLogFaults;
  readonly #clock: Clock;
  readonly #waiters = new Set<() => void>();
  firstOffset = 0;
  appendCount = 0;
  /** Called between the act of an append and its answer. */
  onAppended: () => void = () => {};
  readCount = 0;

  constructor(options: { clock: Clock; faults?: Partial<FakeLogFaults> }) {
    this.#clock = options.clock;
    this.faults = { ...NO_FAULTS, ...options.faults };
  }

  get nextOffset(): number {
    return this.records.length;
  }

  /** Drops the records below `offset`, as retention does. */
  trim(offset: number): void {
    this.firstOffset = Math.max(this.firstOffset, offset);
  }

  /** Appends a record as somebody who is none of the hosts. */
  publish(entry: LogEntry): void {
    const offset = this.records.length;
    const copy = structuredClone(entry);
    this.records.push({ ...copy, offset, atWallMs: this.#clock.wallMs() });
    for (const wake of [...this.#waiters]) wake();
  }

  /** The log as `host` reaches it. */
  client(host: string): ILogClient {
    return {
      append: (_stream, entries) => this.#append(host, entries),
      read: (_stream, fromOffset, options) =>
        this.#read(host, fromOffset, options),
    };
  }

  async #append(
    host: string,
    entries: readonly LogEntry[],
  ): Promise<Outcome<number>> {
    await this.#clock.sleep(this.faults.delayMs());
    if (this.faults.isUnreachable(host)) {
      return notRun("connection-failed", `${host} cannot reach the log`);
    }
    this.appendCount += 1;
    const first = this.records.length;
    for (const entry of entries) this.publish(entry);
    this.onAppended();
    await this.#clock.sleep(this.faults.delayMs());
    if (this.faults.isUnreachable(host) || this.faults.losesReply()) {
      return mayHaveRun("connection-failed", "the log's answer was lost");
    }
    return new Ok(first);
  }

  async #read(
    host: string,
    fromOffset: number,
    options: { waitMs?: number; limit?: number; signal?: AbortSignal },
  ): Promise<Outcome<LogPage>> {
    await this.#clock.sleep(this.faults.delayMs());
    if (this.faults.isUnreachable(host)) {
      return notRun("connection-failed", `${host} cannot reach the log`);
    }
    this.readCount += 1;
    const { waitMs = 0, limit = DEFAULT_LIMIT, signal } = options;
    if (waitMs > 0 && fromOffset >= this.nextOffset) {
      await this.#waitForRecord(waitMs, signal);
    }
    const start = Math.max(fromOffset, this.firstOffset);
    const page = {
      records: this.records.slice(start, start + limit),
      firstOffset: this.firstOffset,
      nextOffset: this.nextOffset,
    };
    await this.#clock.sleep(this.faults.delayMs());
    if (this.faults.isUnreachable(host)) {
      return notRun("connection-failed", `${host} was cut off from the log`);
    }
    return new Ok(page);
  }

  async #waitForRecord(waitMs: number, signal?: AbortSignal): Promise<void> {
    const arrival = new AbortController();
    const wake = () => arrival.abort();
    this.#waiters.add(wake);
    signal?.addEventListener("abort", wake, { once: true });
    await this.#clock.sleep(waitMs, arrival.signal);
    signal?.removeEventListener("abort", wake);
    this.#waiters.delete(wake);
  }
}

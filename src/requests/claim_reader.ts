/**
 * Follows one claim stream: reads its records and reduces them.
 *
 * @module
 */

import { Ok } from "ts-results-es";
import type { Clock } from "../common/clock.ts";
import { mayHaveRun, type Outcome } from "../common/verdict.ts";
import type { ILogClient } from "../clients/services.ts";
import type { LogPage } from "../clients/types.ts";
import { ClaimLedger } from "./claim_ledger.ts";
import { MAX_CLAIM_DURATION_MS } from "./claim_records.ts";

/** Options of `ClaimReader`. */
export interface ClaimReaderOptions {
  readonly clock: Clock;
  readonly log: ILogClient;
  readonly stream: string;
  readonly windowMs: number;
  /** How long one call of the log may take. */
  readonly logTimeoutMs: number;
  /** Hears the identifier of each record as it is first applied. */
  readonly onRecord: (id: string) => void;
}

const MAX_RECORDS_PER_READ = 1_000;

/** Keeps a ledger up to date with its stream. */
export class ClaimReader {
  readonly ledger: ClaimLedger;
  readonly #options: ClaimReaderOptions;
  #hasCaughtUp = false;

  constructor(options: ClaimReaderOptions) {
    this.#options = options;
    this.ledger = new ClaimLedger({ windowMs: options.windowMs });
  }

  /** Whether the stream has been read to an end once. */
  get hasCaughtUp(): boolean {
    return this.#hasCaughtUp;
  }

  /** Reads to the end of the stream, and past `offset` at least. */
  async catchUp(offset = -1): Promise<Outcome<void>> {
    if (!this.#hasCaughtUp) {
      const found = await this.#findStart();
      if (found.isErr()) return found;
    }
    for (;;) {
      const read = await this.#readPage();
      if (read.isErr()) return read;
      const reached = this.ledger.nextOffset;
      if (reached >= read.value.nextOffset && reached > offset) {
        this.#hasCaughtUp = true;
        return Ok.EMPTY;
      }
      if (read.value.records.length > 0) continue;
      const message = `${this.#options.stream} gave nothing at ${reached}`;
      return mayHaveRun("log-unavailable", message);
    }
  }

  async #readPage(): Promise<Outcome<LogPage>> {
    const read = await this.#read(this.ledger.nextOffset, MAX_RECORDS_PER_READ);
    if (read.isErr()) return read;
    this.ledger.skipTo(read.value.firstOffset);
    for (const record of read.value.records) {
      if (record.offset < this.ledger.nextOffset) continue;
      this.ledger.apply(record);
      this.#options.onRecord(record.id);
    }
    return read;
  }

  /** Skips, by bisection, the records that are past every key's window. */
  async #findStart(): Promise<Outcome<void>> {
    const head = await this.#read(0, 1);
    if (head.isErr()) return head;
    let { firstOffset: low, nextOffset: high } = head.value;
    if (high - low <= MAX_RECORDS_PER_READ) return Ok.EMPTY;
    const newestWallMs = await this.#timeAt(high - 1);
    if (newestWallMs.isErr()) return newestWallMs;
    const horizonMs = this.#options.windowMs + MAX_CLAIM_DURATION_MS;
    const oldestWallMs = newestWallMs.value - horizonMs;
    while (high - low > MAX_RECORDS_PER_READ) {
      const middle = Math.floor((low + high) / 2);
      const atWallMs = await this.#timeAt(middle);
      if (atWallMs.isErr()) return atWallMs;
      if (atWallMs.value < oldestWallMs) low = middle;
      else high = middle;
    }
    this.ledger.skipTo(low);
    return Ok.EMPTY;
  }

  async #timeAt(offset: number): Promise<Outcome<number>> {
    const read = await this.#read(offset, 1);
    return read.map(({ records }) => records[0]?.atWallMs ?? -Infinity);
  }

  #read(fromOffset: number, limit: number): Promise<Outcome<LogPage>> {
    const { clock, log, stream, logTimeoutMs: logTimeoutMs } = this.#options;
    const deadlineMs = clock.nowMs() + logTimeoutMs;
    return log.read(stream, fromOffset, { deadlineMs, limit });
  }
}

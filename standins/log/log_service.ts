/**
 * An append-only log in memory, with the limits of the platform's: appends a
 * second, size of an append, retention by count and by age.
 *
 * @module
 */

import { type Faults } from "../common/faults.ts";
import { type Exchange, StandinServer } from "../common/server.ts";
import type { LogEntry, LogPage, LogRecord } from "../../src/clients/types.ts";

const MAX_WAIT_MS = 60_000;
const MAX_PAGE_RECORDS = 1_000;

export interface LogServiceOptions {
  readonly faults: Faults;
  readonly appendsPerS?: number;
  readonly maxAppendBytes?: number;
  readonly retainRecords?: number;
  readonly retainMs?: number;
  readonly wallMs?: () => number;
}

interface Stream {
  records: LogRecord[];
  nextOffset: number;
  waiters: Set<() => void>;
}

/** The log service. */
export class LogService {
  readonly #streams = new Map<string, Stream>();
  readonly #appendsPerS: number;
  readonly #maxAppendBytes: number;
  readonly #retainRecords: number;
  readonly #retainMs: number;
  readonly #wallMs: () => number;
  #credit: number;
  #creditAtWallMs: number;
  #appendCount = 0;
  #rejectedCount = 0;

  readonly server: StandinServer;

  constructor(options: LogServiceOptions) {
    this.#appendsPerS = options.appendsPerS ?? 300;
    this.#maxAppendBytes = options.maxAppendBytes ?? 1024 * 1024;
    this.#retainRecords = options.retainRecords ?? 100_000;
    this.#retainMs = options.retainMs ?? Infinity;
    this.#wallMs = options.wallMs ?? Date.now;
    this.#credit = this.#appendsPerS;
    this.#creditAtWallMs = this.#wallMs();
    this.server = new StandinServer({
      faults: options.faults,
      handle: (exchange) => this.#handle(exchange),
      reports: {
        counts: () => ({
          appends: this.#appendCount,
          refused: this.#rejectedCount,
        }),
      },
    });
  }

  #handle(exchange: Exchange): Promise<void> {
    const [root, name, leaf] = exchange.path;
    if (root !== "streams" || name === undefined || leaf !== "records") {
      return exchange.reply(404, { error: "not-found" });
    }
    const stream = this.#stream(name);
    if (exchange.method === "POST") return this.#append(exchange, stream);
    return this.#read(exchange, stream);
  }

  #append(exchange: Exchange, stream: Stream): Promise<void> {
    if (exchange.body.length > this.#maxAppendBytes) {
      return exchange.reply(413, { error: "body-too-large" });
    }
    const { records } = exchange.json<{ records: LogEntry[] }>();
    if (!this.#consumeCredit()) {
      this.#rejectedCount++;
      return exchange.reply(429, { error: "rate-limited" }, {
        "retry-after": "1",
      });
    }
    this.#appendCount++;
    const offset = stream.nextOffset;
    const atWallMs = this.#wallMs();
    for (const { id, data } of records) {
      stream.records.push({ id, data, offset: stream.nextOffset++, atWallMs });
    }
    this.#retain(stream);
    for (const wake of [...stream.waiters]) wake();
    return exchange.reply(200, { offset });
  }

  async #read(exchange: Exchange, stream: Stream): Promise<void> {
    const from = Number(exchange.query.get("from") ?? 0);
    const limit = Number(exchange.query.get("limit") ?? MAX_PAGE_RECORDS);
    const waitMs = Number(exchange.query.get("waitMs") ?? 0);
    if (from >= stream.nextOffset && waitMs > 0) {
      await waitForRecord(stream, exchange, Math.min(waitMs, MAX_WAIT_MS));
    }
    await exchange.reply(200, this.#page(stream, from, limit));
  }

  #page(stream: Stream, from: number, limit: number): LogPage {
    this.#retain(stream);
    const firstOffset = stream.nextOffset - stream.records.length;
    const start = Math.max(0, from - firstOffset);
    const count = Math.min(limit, MAX_PAGE_RECORDS);
    const records = stream.records.slice(start, start + count);
    return { records, firstOffset, nextOffset: stream.nextOffset };
  }

  #retain(stream: Stream): void {
    const oldestWallMs = this.#wallMs() - this.#retainMs;
    let dropped = Math.max(0, stream.records.length - this.#retainRecords);
    while (stream.records[dropped]?.atWallMs < oldestWallMs) dropped++;
    if (dropped > 0) stream.records.splice(0, dropped);
  }

  #consumeCredit(): boolean {
    const nowWallMs = this.#wallMs();
    const gained = (nowWallMs - this.#creditAtWallMs) * this.#appendsPerS /
      1_000;
    this.#credit = Math.min(this.#appendsPerS, this.#credit + gained);
    this.#creditAtWallMs = nowWallMs;
    if (this.#credit < 1) return false;
    this.#credit--;
    return true;
  }

  #stream(name: string): Stream {
    const known = this.#streams.get(name);
    if (known) return known;
    const stream = {
      records: [],
      nextOffset: 0,
      waiters: new Set<() => void>(),
    };
    this.#streams.set(name, stream);
    return stream;
  }
}

function waitForRecord(
  stream: Stream,
  exchange: Exchange,
  waitMs: number,
): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(finish, waitMs);
    stream.waiters.add(finish);
    exchange.response.once("close", finish);
    function finish(): void {
      clearTimeout(timer);
      stream.waiters.delete(finish);
      exchange.response.removeListener("close", finish);
      resolve();
    }
  });
}

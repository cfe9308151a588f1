/**
 * A log in memory whose answers can be lost before or after the act, whose
 * appends can land late, and which can be down.
 *
 * @module
 */

import { Ok } from "ts-results-es";
import type { Clock } from "../src/common/clock.ts";
import type { Random } from "../src/common/random.ts";
import { mayHaveRun, notRun, type Outcome } from "../src/common/verdict.ts";
import type { ILogClient } from "../src/clients/services.ts";
import type { LogEntry, LogRecord } from "../src/clients/types.ts";
import type { TestHost } from "./requests_host.ts";

/** Options of `TestLog`. */
export interface TestLogOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Share of appends whose answer is lost, one way or another. */
  readonly lostAnswers?: number;
  /** Longest time of one call. */
  readonly delayMs?: number;
}

/** An append-only log with faults. */
export class TestLog {
  readonly streams = new Map<string, LogRecord[]>();
  /** Times of all appends that reached the log. */
  readonly appendedAtMs: number[] = [];
  readCount = 0;
  /** Calls that found the log down. */
  failedCount = 0;
  byteCount = 0;
  isDown = false;
  lostAnswers: number;
  readonly #options: TestLogOptions;

  constructor(options: TestLogOptions) {
    this.#options = options;
    this.lostAnswers = options.lostAnswers ?? 0;
  }

  /** The log as `host` reaches it. */
  client(host?: TestHost): ILogClient {
    const whenRunning = <T>(value: T) =>
      host ? host.resolveWhenRunning(value) : value;
    return {
      append: async (stream, entries, { deadlineMs }) =>
        await whenRunning(await this.#append(stream, entries, deadlineMs)),
      read: async (stream, fromOffset, { deadlineMs, limit = 1_000 }) => {
        this.readCount += 1;
        await this.#delay();
        if (this.isDown) return await whenRunning(await this.#fail(deadlineMs));
        const all = this.#stream(stream);
        const records = all.slice(fromOffset, fromOffset + limit);
        return await whenRunning(
          new Ok({ records, firstOffset: 0, nextOffset: all.length }),
        );
      },
    };
  }

  async #append(
    stream: string,
    entries: readonly LogEntry[],
    deadlineMs: number,
  ): Promise<Outcome<number>> {
    const { clock, random } = this.#options;
    await this.#delay();
    if (this.isDown) return await this.#fail(deadlineMs);
    if (random() >= this.lostAnswers) {
      const offset = this.#write(stream, entries);
      await this.#delay();
      return new Ok(offset);
    }
    const kind = Math.floor(random() * 3);
    if (kind === 0) this.#write(stream, entries);
    if (kind === 1) {
      void clock.sleep(random() * 5_000)
        .then(() => this.#write(stream, entries));
    }
    if (random() < 0.5) await clock.sleep(deadlineMs - clock.nowMs());
    return mayHaveRun("log-unavailable", "the log's answer was lost");
  }

  async #fail(deadlineMs: number): Promise<Outcome<never>> {
    const { clock, random } = this.#options;
    this.failedCount += 1;
    if (random() < 0.5) return notRun("log-unavailable", "the log is down");
    await clock.sleep(deadlineMs - clock.nowMs());
    return mayHaveRun("log-unavailable", "the log did not answer");
  }

  #write(stream: string, entries: readonly LogEntry[]): number {
    const { clock } = this.#options;
    const records = this.#stream(stream);
    const offset = records.length;
    this.appendedAtMs.push(clock.nowMs());
    for (const entry of entries) {
      const text = JSON.stringify(entry.data);
      this.byteCount += text.length;
      records.push({
        id: entry.id,
        data: JSON.parse(text),
        offset: records.length,
        atWallMs: clock.wallMs(),
      });
    }
    return offset;
  }

  #stream(name: string): LogRecord[] {
    const records = this.streams.get(name) ?? [];
    this.streams.set(name, records);
    return records;
  }

  async #delay(): Promise<void> {
    const { clock, random, delayMs = 10 } = this.#options;
    if (delayMs > 0) await clock.sleep(random() * delayMs);
  }
}

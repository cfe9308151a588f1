/**
 * A weight store whose rate is shared by all its readers. It answers when the
 * bytes asked for would have been read, without sending them.
 *
 * @module
 */

import type { Faults } from "../common/faults.ts";
import { type Exchange, StandinServer } from "../common/server.ts";

const TICK_INTERVAL_MS = 10;

export interface WeightStoreOptions {
  readonly faults: Faults;
  readonly bytesPerS?: number;
}

interface Reader {
  remainingBytes: number;
  readonly finish: () => void;
}

/** The store. */
export class WeightStore {
  readonly #readers = new Set<Reader>();
  readonly #bytesPerS: number;
  #timer: NodeJS.Timeout | undefined;
  #tickedAtMs = 0;

  readonly server: StandinServer;

  constructor(options: WeightStoreOptions) {
    this.#bytesPerS = options.bytesPerS ?? 1e9;
    this.server = new StandinServer({
      faults: options.faults,
      handle: (exchange) => this.#handle(exchange),
      reports: { readers: () => ({ readers: this.#readers.size }) },
    });
  }

  async #handle(exchange: Exchange): Promise<void> {
    if (exchange.path[0] !== "weights") {
      return exchange.reply(404, { error: "not-found" });
    }
    const sizeBytes = Number(exchange.query.get("bytes") ?? 0);
    const whole = await this.#read(sizeBytes, exchange);
    if (whole) await exchange.reply(200, { sizeBytes });
  }

  #read(leftBytes: number, exchange: Exchange): Promise<boolean> {
    return new Promise((resolve) => {
      const reader = { leftBytes, finish: () => resolve(true) };
      this.#readers.add(reader);
      exchange.response.once("close", () => {
        this.#readers.delete(reader);
        resolve(false);
      });
      this.#start();
    });
  }

  #start(): void {
    if (this.#timer) return;
    this.#tickedAtMs = performance.now();
    this.#timer = setInterval(() => this.#tick(), TICK_INTERVAL_MS);
  }

  #tick(): void {
    const nowMs = performance.now();
    const share = this.#bytesPerS * (nowMs - this.#tickedAtMs) / 1_000 /
      this.#readers.size;
    this.#tickedAtMs = nowMs;
    for (const reader of [...this.#readers]) {
      reader.remainingBytes -= share;
      if (reader.remainingBytes > 0) continue;
      this.#readers.delete(reader);
      reader.finish();
    }
    if (this.#readers.size > 0) return;
    clearInterval(this.#timer);
    this.#timer = undefined;
  }
}

/**
 * A stand-in for a plain service that counts the executions of each idempotency
 * key.
 *
 * @module
 */

import type { Faults } from "../common/faults.ts";
import { type Exchange, sleep, StandinServer } from "../common/server.ts";

export interface PlainServiceOptions {
  readonly faults: Faults;
  readonly workMs?: number;
  /** Whether a request with an executed key is rejected instead of executed again. */
  readonly rejectsRepeatedKeys?: boolean;
}

export class PlainService {
  readonly #executions = new Map<string, number>();
  readonly #options: PlainServiceOptions;

  readonly server: StandinServer;

  constructor(options: PlainServiceOptions) {
    this.#options = options;
    this.server = new StandinServer({
      faults: options.faults,
      handle: (exchange) => this.#handle(exchange),
      reports: {
        executions: () => ({
          executions: Object.fromEntries(this.#executions),
        }),
      },
    });
  }

  /** Number of executions by idempotency key. */
  get executions(): ReadonlyMap<string, number> {
    return this.#executions;
  }

  async #handle(exchange: Exchange): Promise<void> {
    if (this.#options.faults.isLeaving) {
      return exchange.reply(503, { error: "leaving" });
    }
    const header = exchange.request.headers["idempotency-key"];
    const key = typeof header === "string" ? header : "";
    const earlier = this.#executions.get(key) ?? 0;
    if (this.#options.rejectsRepeatedKeys && key !== "" && earlier > 0) {
      return exchange.reply(409, { error: "repeated-key", key });
    }
    const run = earlier + 1;
    this.#executions.set(key, run);
    if (this.#options.workMs) await sleep(this.#options.workMs);
    await exchange.reply(200, {
      key,
      run,
      method: exchange.method,
      path: `/${exchange.path.join("/")}`,
      sizeBytes: exchange.body.length,
    });
  }
}

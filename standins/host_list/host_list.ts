/**
 * The platform's list of hosts and targets, which shows each change only
 * after a lag.
 *
 * @module
 */

import type { Faults } from "../common/faults.ts";
import { type Exchange, StandinServer } from "../common/server.ts";
import type { ListedHost } from "../../src/clients/types.ts";

export interface HostListOptions {
  readonly faults: Faults;
  readonly lagMs?: number;
}

/** The list service. */
export class HostList {
  readonly #hosts = new Map<string, ListedHost>();
  readonly #lagMs: number;

  readonly server: StandinServer;

  constructor(options: HostListOptions) {
    this.#lagMs = options.lagMs ?? 0;
    this.server = new StandinServer({
      faults: options.faults,
      handle: (exchange) => this.#handle(exchange),
    });
  }

  #handle(exchange: Exchange): Promise<void> {
    const [root, name] = exchange.path;
    if (root !== "hosts") return exchange.reply(404, { error: "not-found" });
    if (exchange.method === "GET") {
      return exchange.reply(200, { hosts: [...this.#hosts.values()] });
    }
    if (name === undefined) return exchange.reply(404, { error: "not-found" });
    if (exchange.method === "DELETE") {
      this.#applyAfterLag(() => this.#hosts.delete(name));
      return exchange.reply(200, {});
    }
    const host = { ...exchange.json<ListedHost>(), name };
    this.#applyAfterLag(() => this.#hosts.set(name, host));
    return exchange.reply(200, {});
  }

  #applyAfterLag(change: () => void): void {
    if (this.#lagMs === 0) change();
    else setTimeout(change, this.#lagMs).unref();
  }
}

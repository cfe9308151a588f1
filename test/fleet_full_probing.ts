/**
 * The plain way to keep members: everybody probes everybody. Only a baseline
 * for measurements.
 *
 * @module
 */

import type { FleetHosts } from "./fleet_hosts.ts";

const PERIOD_MS = 1_000;
const TIMEOUT_MS = 800;
const MAX_FAILURES = 3;

/** A fleet in which each host probes each other host once a period. */
export class FullProbing {
  readonly #failures = new Map<string, Map<string, number>>();

  constructor(readonly fleet: FleetHosts, size: number) {
    for (let index = 0; index < size; index += 1) {
      const host = fleet.add(`host-${index}`);
      host.network.handle("plain.ping", () => true);
      this.#failures.set(host.listed.name, new Map());
    }
    for (const host of fleet.runningHosts()) void this.#run(host.listed.name);
  }

  isRemoved(observer: string, name: string): boolean {
    const failures = this.#failures.get(observer)?.get(name) ?? 0;
    return failures >= MAX_FAILURES;
  }

  countFalseRemovals(): number {
    let count = 0;
    for (const failures of this.#failures.values()) {
      for (const value of failures.values()) {
        if (value >= MAX_FAILURES) count += 1;
      }
    }
    return count;
  }

  async #run(name: string): Promise<void> {
    const { fleet } = this;
    const host = fleet.get(name);
    await fleet.clock.sleep(fleet.random() * PERIOD_MS);
    const others = [...fleet.hosts.keys()].filter((other) => other !== name);
    while (!host.abort.signal.aborted) {
      for (const other of others) void this.#probe(name, other);
      await fleet.clock.sleep(PERIOD_MS);
    }
  }

  async #probe(name: string, other: string): Promise<void> {
    const failures = this.#failures.get(name) as Map<string, number>;
    const outcome = await this.fleet.get(name).network.call(
      this.fleet.get(other).network.url,
      { method: "plain.ping", parameters: { from: name, to: other } },
      { deadlineMs: this.fleet.clock.nowMs() + TIMEOUT_MS },
    );
    failures.set(other, outcome.isOk() ? 0 : (failures.get(other) ?? 0) + 1);
  }
}

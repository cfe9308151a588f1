/**
 * Push gossip: whoever hears a fact first sends it on to a few random hosts.
 * Only a baseline for measurements.
 *
 * @module
 */

import { sampleDistinct } from "../src/fleet/sample_distinct.ts";
import type { Fact } from "../src/fleet/services.ts";
import type { FleetHosts } from "./fleet_hosts.ts";

const TIMEOUT_MS = 250;

/** Gossip among the hosts of a fleet. */
export class PushGossip {
  readonly #receiversByKey = new Map<string, Set<string>>();

  constructor(readonly fleet: FleetHosts, readonly fanout: number) {
    for (const host of fleet.runningHosts()) {
      const { name } = host.listed;
      host.network.handle("plain.push", (fact) => {
        this.#receive(name, fact as Fact);
        return null;
      });
    }
  }

  publish(name: string, fact: Fact): void {
    this.#receive(name, fact);
  }

  /** Hosts that have heard the fact, the first one aside. */
  receiverCount(fact: Fact): number {
    return (this.#receiversByKey.get(fact.key)?.size ?? 1) - 1;
  }

  #receive(name: string, fact: Fact): void {
    const receivers = this.#receiversByKey.get(fact.key) ?? new Set();
    this.#receiversByKey.set(fact.key, receivers);
    if (receivers.has(name)) return;
    receivers.add(name);
    const { network, membership } = this.fleet.get(name);
    const { random } = this.fleet;
    const peers = membership.peers();
    for (const peer of sampleDistinct(peers, { count: this.fanout, random })) {
      const request = { method: "plain.push", parameters: fact };
      const deadlineMs = this.fleet.clock.nowMs() + TIMEOUT_MS;
      void network.call(peer.url, request, { deadlineMs });
    }
  }
}

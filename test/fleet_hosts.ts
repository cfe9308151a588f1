/**
 * A fleet of hosts with membership over a network of one process and a list
 * that the test controls.
 *
 * @module
 */

import { Emitter } from "../src/common/emitter.ts";
import { type Random, seededRandom } from "../src/common/random.ts";
import { Dissemination } from "../src/fleet/dissemination.ts";
import { Membership, type MembershipOptions } from "../src/fleet/membership.ts";
import type { ListedHost } from "../src/clients/types.ts";
import { FleetClock } from "./fleet_clock.ts";
import {
  FleetNetwork,
  type FleetNetworkOptions,
  type NetworkHost,
} from "./fleet_network.ts";

const FAILURE_DOMAIN_COUNT = 14;
const REGION_COUNT = 5;

/** One host of the fleet. */
export interface FleetHost {
  readonly network: NetworkHost;
  readonly membership: Membership;
  readonly dissemination: Dissemination;
  readonly listed: ListedHost;
  readonly abort: AbortController;
}

/** Settings of a {@link FleetHosts}. */
export interface FleetHostsOptions {
  readonly seed: number;
  readonly network?: Partial<FleetNetworkOptions>;
  readonly membership?: Pick<
    MembershipOptions,
    "periodMs" | "suspectMs" | "forgetMs" | "announces"
  >;
}

/** Starts, kills, cuts and pauses hosts. */
export class FleetHosts {
  readonly clock = new FleetClock();
  readonly random: Random;
  readonly network: FleetNetwork;
  readonly hosts = new Map<string, FleetHost>();
  readonly #lists = new Map<string, Emitter<readonly ListedHost[]>>();
  readonly #options: FleetHostsOptions;

  constructor(options: FleetHostsOptions) {
    this.#options = options;
    this.random = seededRandom(options.seed);
    this.network = new FleetNetwork({
      clock: this.clock,
      random: this.random,
      ...options.network,
    });
  }

  /** Adds a host that is not running yet. */
  add(name: string, url?: string): FleetHost {
    const network = this.network.add(name, url);
    const index = this.hosts.size;
    const listed: ListedHost = {
      name,
      url: network.url,
      failureDomain: `domain-${index % FAILURE_DOMAIN_COUNT}`,
      region: `region-${index % FAILURE_DOMAIN_COUNT % REGION_COUNT}`,
      role: "entry",
      state: "live",
    };
    const lists = new Emitter<readonly ListedHost[]>();
    this.#lists.set(name, lists);
    const membership = new Membership({
      self: listed,
      transport: network,
      watcher: { onList: lists.event },
      clock: network.clock,
      random: this.random,
      ...this.#options.membership,
    });
    const dissemination = new Dissemination({
      membership,
      transport: network,
      clock: network.clock,
      random: this.random,
    });
    const abort = new AbortController();
    const host = { network, membership, dissemination, listed, abort };
    this.hosts.set(name, host);
    return host;
  }

  /** Starts a host after a random part of a probe period. */
  start(host: FleetHost): void {
    const { signal } = host.abort;
    void this.clock.sleep(this.random() * 1_000).then(() => {
      void host.membership.run(signal);
      void host.dissemination.run(signal);
    });
  }

  /** Adds and starts `count` hosts that all stand on the list. */
  async startAll(count: number): Promise<void> {
    for (let index = 0; index < count; index += 1) this.add(`host-${index}`);
    this.publishList();
    for (const host of this.hosts.values()) this.start(host);
    await this.clock.advance(0);
  }

  /** Lets every running host read the list of the running hosts. */
  publishList(): void {
    for (const host of this.runningHosts()) this.readList(host);
  }

  /** Lets one host read the list of the running hosts. */
  readList(host: FleetHost): void {
    const list = this.runningHosts().map((other) => other.listed);
    this.#lists.get(host.listed.name)?.fire(list);
  }

  kill(name: string): void {
    const host = this.get(name);
    host.network.isUp = false;
    host.abort.abort();
  }

  get(name: string): FleetHost {
    const host = this.hosts.get(name);
    if (host === undefined) throw new Error(`no host ${name}`);
    return host;
  }

  runningHosts(): FleetHost[] {
    return [...this.hosts.values()].filter((host) => host.network.isUp);
  }

  stop(): void {
    for (const host of this.hosts.values()) host.abort.abort();
  }

  /** How many running hosts hold `name` in one of the states, absent included. */
  countObservers(
    name: string,
    states: readonly (string | undefined)[],
  ): number {
    return this.runningHosts().filter((host) => {
      const seen = host.membership.members()
        .find((member) => member.name === name);
      return host.listed.name !== name && states.includes(seen?.state);
    }).length;
  }
}

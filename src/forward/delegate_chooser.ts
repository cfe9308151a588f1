/**
 * Chooses the host that serves a request in the place of this one, which reaches
 * no target of its service. Hosts of the same failure domain are preferred while at least half
 * of it accepts such requests; otherwise all hosts share them.
 *
 * @module
 */

import type { HostRecord } from "../ports/types.ts";

export interface DelegateChooserOptions {
  readonly domain: string;
  /** Live hosts that accept requests of others to a service. */
  readonly hosts: (service: string) => readonly HostRecord[];
  /** Number of live hosts of this failure domain, this one included. */
  readonly domainHostCount: () => number;
  readonly random: () => number;
}

export class DelegateChooser {
  readonly #options: DelegateChooserOptions;
  /** Requests of this host in progress at others, by their ids. */
  readonly #active = new Map<string, number>();

  constructor(options: DelegateChooserOptions) {
    this.#options = options;
  }

  /**
   * The host with the fewest requests of this one; one to avoid, whose target may
   * have been at fault, only if there is no other. Undefined if none accepts.
   */
  choose({ service, excluded, avoided }: {
    readonly service: string;
    readonly excluded: ReadonlySet<string>;
    readonly avoided: ReadonlySet<string>;
  }): HostRecord | undefined {
    const accepting = this.#options.hosts(service).filter(({ id }) =>
      !excluded.has(id)
    );
    return this.#chooseAmong(accepting.filter(({ id }) => !avoided.has(id))) ??
      this.#chooseAmong(accepting);
  }

  #chooseAmong(hosts: readonly HostRecord[]): HostRecord | undefined {
    const { domain, random, domainHostCount } = this.#options;
    const near = hosts.filter((host) => host.domain === domain);
    const candidates = near.length * 2 >= domainHostCount() ? near : hosts;
    let best: HostRecord | undefined;
    let bestLoad = Infinity;
    for (const host of candidates) {
      const load = (this.#active.get(host.id) ?? 0) + random();
      if (load >= bestLoad) continue;
      best = host;
      bestLoad = load;
    }
    return best;
  }

  begin({ id }: HostRecord): void {
    this.#active.set(id, (this.#active.get(id) ?? 0) + 1);
  }

  end({ id }: HostRecord): void {
    const active = (this.#active.get(id) ?? 0) - 1;
    if (active > 0) this.#active.set(id, active);
    else this.#active.delete(id);
  }
}

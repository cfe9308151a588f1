/**
 * Distributes the load of each host on the targets to the other hosts, with the
 * age that the product's exchange has.
 *
 * @module
 */

import type { TargetLoad } from "../../src/paths/target.ts";
import type { Random } from "../../src/common/random.ts";
import type { EventQueue } from "../chains/fakes.ts";
import type { LoadInfo, SimulatedHost } from "./types.ts";

export interface LoadExchangeOptions {
  readonly events: EventQueue;
  readonly hosts: readonly SimulatedHost[];
  readonly info: LoadInfo;
  readonly random: Random;
}

/** Sets the peer load of every target at every host. */
export class LoadExchange {
  readonly #options: LoadExchangeOptions;
  /** Delay of each host's view of the others. */
  readonly #delaysMs: readonly number[];

  constructor(options: LoadExchangeOptions) {
    this.#options = options;
    const { minDelayMs, maxDelayMs } = options.info;
    // Without a delay, no random number may be drawn, so that seeds keep their runs.
    this.#delaysMs = options.hosts.map(() =>
      maxDelayMs === 0
        ? 0
        : minDelayMs + options.random() * (maxDelayMs - minDelayMs)
    );
  }

  /** Takes a snapshot of all loads and delivers it to each host after its delay. */
  exchange(): void {
    const { events, hosts, info } = this.#options;
    const sums = new Map<string, TargetLoad>();
    for (const { targetTable } of hosts) {
      for (const { id, ownLoad } of targetTable.all()) {
        sums.set(id, add(sums.get(id), ownLoad, 1));
      }
    }
    hosts.forEach((host, index) => {
      const loads = host.targetTable.all().map((target) => ({
        target,
        load: withoutReports(
          add(sums.get(target.id), target.ownLoad, -1),
          info.hasPrefillReports,
        ),
      }));
      const apply = (): void => {
        for (const { target, load } of loads) target.peerLoad = load;
      };
      if (this.#delaysMs[index] === 0) apply();
      else events.after(this.#delaysMs[index], apply);
    });
  }
}

function add(
  sum: TargetLoad | undefined,
  load: TargetLoad,
  sign: 1 | -1,
): TargetLoad {
  return {
    streams: (sum?.streams ?? 0) + sign * load.streams,
    tokenLayers: (sum?.tokenLayers ?? 0) + sign * load.tokenLayers,
    prefillTokenLayers: (sum?.prefillTokenLayers ?? 0) +
      sign * (load.prefillTokenLayers ?? 0),
  };
}

function withoutReports(load: TargetLoad, hasReports: boolean): TargetLoad {
  if (hasReports) return load;
  const { streams, tokenLayers } = load;
  return { streams, tokenLayers };
}

/**
 * Counts this host's requests by service and rank: those offered and started
 * over the last second, and those waiting now. The other hosts receive the
 * counts with the state of this one.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { Emitter, type Event } from "../common/emitter.ts";
import type { RankDemand, ServiceDemand } from "../peers/demand_codec.ts";
import { RollingCount } from "./rolling_count.ts";

/** A request of a service. */
export interface RankedRequest {
  readonly service: string;
  readonly rank: number;
}

interface RankCounts {
  readonly offered: RollingCount;
  readonly started: RollingCount;
  waiting: number;
  /** When the last one started, or when the first one began to wait after that. */
  unservedSinceMs: number;
}

export interface FleetDemandOptions {
  readonly clock: Clock;
}

export class FleetDemand {
  readonly #clock: Clock;
  readonly #services = new Map<string, Map<number, RankCounts>>();
  readonly #onOffered = new Emitter<RankedRequest>();
  readonly #onStarted = new Emitter<RankedRequest>();

  readonly onOffered: Event<RankedRequest> = this.#onOffered.event;
  readonly onStarted: Event<RankedRequest> = this.#onStarted.event;

  constructor(options: FleetDemandOptions) {
    this.#clock = options.clock;
  }

  /** A request asks for a path for the first time. */
  recordOffered(service: string, rank: number): void {
    this.#countsOf(service, rank).offered.add(this.#clock.nowMs());
    this.#onOffered.fire({ service, rank });
  }

  /** A request that was offered has got a path. */
  recordStarted(service: string, rank: number): void {
    const counts = this.#countsOf(service, rank);
    const nowMs = this.#clock.nowMs();
    counts.started.add(nowMs);
    counts.unservedSinceMs = nowMs;
    this.#onStarted.fire({ service, rank });
  }

  /** Sets the number of requests of a rank that wait at this host now. */
  setWaiting(service: string, rank: number, count: number): void {
    const counts = this.#countsOf(service, rank);
    if (counts.waiting === 0 && count > 0) {
      counts.unservedSinceMs = this.#clock.nowMs();
    }
    counts.waiting = count;
  }

  /** Requests of a service that wait at this host, of `fromRank` and after it. */
  waitingFrom(service: string, fromRank: number): number {
    let sum = 0;
    for (const [rank, { waiting }] of this.#services.get(service) ?? []) {
      if (rank >= fromRank) sum += waiting;
    }
    return sum;
  }

  /** Requests of one rank that wait at this host. */
  waitingOf(service: string, rank: number): number {
    return this.#services.get(service)?.get(rank)?.waiting ?? 0;
  }

  /**
   * The rank, of `fromRank` and after it, of which requests wait here and none
   * has started for the longest time.
   */
  longestUnserved(service: string, fromRank: number): number | undefined {
    let oldestMs = Infinity;
    let oldestRank: number | undefined;
    for (const [rank, counts] of this.#services.get(service) ?? []) {
      const { waiting, unservedSinceMs } = counts;
      if (rank < fromRank || waiting === 0) continue;
      if (unservedSinceMs >= oldestMs) continue;
      oldestMs = unservedSinceMs;
      oldestRank = rank;
    }
    return oldestRank;
  }

  /** Demand at this host now; services and ranks without any are left out. */
  current(): ServiceDemand[] {
    const nowMs = this.#clock.nowMs();
    const demand: ServiceDemand[] = [];
    for (const [service, ranks] of this.#services) {
      const counts: RankDemand[] = [];
      for (const [rank, { offered, started, waiting }] of ranks) {
        const offeredPerS = offered.count(nowMs);
        const startedPerS = started.count(nowMs);
        if (offeredPerS + startedPerS + waiting === 0) ranks.delete(rank);
        else counts.push({ rank, offeredPerS, startedPerS, waiting });
      }
      if (counts.length === 0) this.#services.delete(service);
      else {
        demand.push({
          service,
          ranks: counts.sort((a, b) => a.rank - b.rank),
        });
      }
    }
    return demand;
  }

  #countsOf(service: string, rank: number): RankCounts {
    let ranks = this.#services.get(service);
    if (ranks === undefined) {
      ranks = new Map();
      this.#services.set(service, ranks);
    }
    let counts = ranks.get(rank);
    if (counts === undefined) {
      counts = {
        offered: new RollingCount(),
        started: new RollingCount(),
        waiting: 0,
        unservedSinceMs: this.#clock.nowMs(),
      };
      ranks.set(rank, counts);
    }
    return counts;
  }
}

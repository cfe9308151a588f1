/**
 * The demand of the fleet at this host: sends this host's counts with its state,
 * adds those of the other hosts, and lets the admission level follow.
 *
 * @module
 */

import { AdmissionLevel } from "../admission/admission_level.ts";
import { FleetDemand } from "../admission/fleet_demand.ts";
import type { Clock } from "../common/clock.ts";
import type { ILog } from "../common/logging.ts";
import {
  type RankDemand,
  type ReceivedDemand,
  type ServiceDemand,
  subtractDemand,
  sumDemand,
} from "../peers/demand_codec.ts";
import type { MalformedList } from "../peers/peer_state.ts";
import { sendIntervalMs } from "./send_interval.ts";
import type { ServiceAdmission } from "./service_limits.ts";

/** Older demand of other hosts is ignored. */
const MAX_AGE_MS = 2_000;
/**
 * Sums are made once in this time at most: a relay receives a state every few
 * milliseconds.
 */
const SUM_TTL_MS = 50;
/** Sources whose malformed lists were logged; then no more are. */
const MAX_LOGGED = 500;
/** Least time between two changes of levels that are passed on at once. */
const CHANGE_INTERVAL_MS = 500;
/** A level that returns within this time is logged as one. */
const LEVEL_LOG_MS = 5_000;

export interface DemandExchangeOptions {
  readonly clock: Clock;
  readonly log: ILog;
  readonly random: () => number;
  readonly peers: () => {
    /** Demand at the other hosts. */
    peerDemands(): readonly ReceivedDemand[];
    /** Number of live hosts. */
    readonly hostCount: number;
  };
}

export class DemandExchange {
  readonly #options: DemandExchangeOptions;
  /** Counts of this host. */
  readonly demand: FleetDemand;
  /** Which ranks may start at this host. */
  readonly level: AdmissionLevel;
  readonly #logged = new Set<string>();
  /** Services with a level in force at the last change that was passed on. */
  #restricted = "";
  #changedMs = -Infinity;
  /** When a level was last in force, by service; until its end is logged. */
  readonly #restrictedMs = new Map<string, number>();
  /** What this host sent last; digests of its domain contain it. */
  #shared: readonly ServiceDemand[] = [];
  #sums: ReadonlyMap<string, readonly RankDemand[]> | undefined;
  #summedMs = -Infinity;

  constructor(options: DemandExchangeOptions) {
    this.#options = options;
    const { clock, random, peers } = options;
    this.demand = new FleetDemand({ clock });
    this.level = new AdmissionLevel({
      clock,
      random,
      exchangeIntervalMs: () => sendIntervalMs(peers().hostCount),
      demand: this.demand,
      fleetDemand: (service) => this.#fleetDemand()?.get(service),
    });
  }

  /** What the wait queue of a service needs of the fleet's level, and tells it. */
  of(service: string): ServiceAdmission {
    const { demand, level } = this;
    return {
      mayStart: (rank) => level.mayStart(service, rank),
      fleetWaitMs: (rank) => level.of(service).waitMs(rank) || undefined,
      observer: {
        onOffered: (rank) => demand.recordOffered(service, rank),
        onStarted: (rank) => demand.recordStarted(service, rank),
        onWaiting: (rank, count) => demand.setWaiting(service, rank, count),
      },
    };
  }

  /** The counts to send with the state of this host. */
  toShare(): readonly ServiceDemand[] {
    this.#shared = this.demand.current();
    this.#logLevels();
    return this.#shared;
  }

  /** Requests that wait at all hosts, as far as this one knows. */
  fleetWaiting(): number {
    const ranks = [...this.#fleetDemand()?.values() ?? []].flat();
    return ranks.reduce((sum, { waiting }) => sum + waiting, 0);
  }

  /**
   * Called after a state or digest of another host has been taken in. Returns
   * whether levels have come into force or ended, which a relay passes on
   * before its next digest.
   */
  handleReceived(
    { malformedLists = [] }: {
      readonly malformedLists?: readonly MalformedList[];
    },
    source: string,
  ): boolean {
    for (const list of malformedLists) {
      const key = `${list} ${source}`;
      if (this.#logged.has(key) || this.#logged.size >= MAX_LOGGED) continue;
      this.#logged.add(key);
      this.#options.log.warn("malformed list of another host dropped", {
        list,
        source,
      });
    }
    const nowMs = this.#options.clock.nowMs();
    if (nowMs - this.#changedMs < CHANGE_INTERVAL_MS) return false;
    const restricted = this.level.restricted().join();
    if (restricted === this.#restricted) return false;
    this.#restricted = restricted;
    this.#changedMs = nowMs;
    return true;
  }

  #logLevels(): void {
    const { clock, log } = this.#options;
    const nowMs = clock.nowMs();
    for (const service of this.level.restricted()) {
      if (!this.#restrictedMs.has(service)) {
        const level = this.level.of(service);
        const { rank, share } = level;
        const waitMs = level.waitMs(rank);
        log.info("starts restricted by rank", { service, rank, share, waitMs });
      }
      this.#restrictedMs.set(service, nowMs);
    }
    for (const [service, lastMs] of this.#restrictedMs) {
      if (nowMs - lastMs < LEVEL_LOG_MS) continue;
      this.#restrictedMs.delete(service);
      log.info("starts no longer restricted by rank", { service });
    }
  }

  /** By service; undefined without current demand of other hosts. */
  #fleetDemand(): ReadonlyMap<string, readonly RankDemand[]> | undefined {
    const nowMs = this.#options.clock.nowMs();
    if (nowMs - this.#summedMs < SUM_TTL_MS) return this.#sums;
    this.#summedMs = nowMs;
    const fresh = this.#options.peers().peerDemands().filter(({ ageMs }) =>
      ageMs <= MAX_AGE_MS
    );
    if (fresh.length === 0) return this.#sums = undefined;
    const others = fresh.map(({ demand, includesOwn }) =>
      includesOwn ? subtractDemand(demand, this.#shared) : demand
    );
    const sums = sumDemand([...others, this.demand.current()]);
    this.#sums = new Map(sums.map(({ service, ranks }) => [service, ranks]));
    return this.#sums;
  }
}

/**
 * Decides at this host which requests may start while requests wait somewhere
 * in the fleet. All hosts decide by the same sums, so a host without urgent
 * requests leaves capacity to those that have some.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { MAX_RANKS, type RankDemand } from "../peers/demand_codec.ts";
import type { FleetDemand, RankedRequest } from "./fleet_demand.ts";
import {
  BEHIND_SHARE,
  levelOf,
  OPEN_LEVEL,
  type ServiceLevel,
} from "./service_level.ts";
import { StartCredits } from "./start_credits.ts";

export type { ServiceLevel };

/** A computed level is used for this long. */
const LEVEL_TTL_MS = 50;
/**
 * Requests that start within this time of their arrival do not count as
 * waiting: by Little's law, the number that waits is the rate times the wait.
 */
const TOLERATED_WAIT_S = 0.2;
/** The same once the level is in force, so that it does not alternate. */
const RELEASE_WAIT_S = 0.02;
/**
 * Capacity is the highest rate of starts in this time. A rate that falls since
 * fewer requests were admitted says nothing about capacity.
 */
const CAPACITY_MEMORY_MS = 2_000;
/**
 * Below this share of the capacity, offered requests leave enough for those that
 * still wait, whatever their rank.
 */
const BACKLOG_LOAD = 0.8;
/**
 * Factor on the capacity, for each exchange interval in which the ranks that
 * may start do not wait: there is capacity that the level does not use.
 */
const RAISE_FACTOR = 1.5;
/** Bound of the product of these factors. */
const MAX_RAISE = 16;

export interface AdmissionLevelOptions {
  readonly clock: Clock;
  /** Demand at this host. */
  readonly demand: FleetDemand;
  /**
   * Demand at all hosts by increasing rank, this one included; undefined without
   * current information from other hosts.
   */
  readonly fleetDemand: (service: string) => readonly RankDemand[] | undefined;
  /** Time between two states of a host. */
  readonly exchangeIntervalMs: () => number;
  readonly random: () => number;
}

interface ServiceState {
  level: ServiceLevel;
  /** The last rank if others are added to it, else Infinity. */
  lastRank: number;
  computedMs: number;
  starts: { readonly atMs: number; readonly perS: number }[];
  raise: number;
  raisedMs: number;
  readonly credits: StartCredits;
}

export class AdmissionLevel {
  readonly #options: AdmissionLevelOptions;
  readonly #services = new Map<string, ServiceState>();

  constructor(options: AdmissionLevelOptions) {
    this.#options = options;
    options.demand.onOffered((request) => this.#recordOffered(request));
    options.demand.onStarted((request) => this.#recordStarted(request));
  }

  /** The level of a service now. */
  of(service: string): ServiceLevel {
    return this.#stateOf(service).level;
  }

  /**
   * Whether a request of the rank may start now if a path has capacity. Of the
   * ranks that do not all start, those that `FleetDemand` counts as waiting take
   * turns, the one first of which none has started for the longest time.
   */
  mayStart(service: string, rank: number): boolean {
    const { level, credits, lastRank } = this.#stateOf(service);
    if (rank < level.rank) return true;
    const isMarginal = Math.min(rank, lastRank) === level.rank;
    if (isMarginal && (level.share >= 1 || credits.hasShare)) return true;
    return credits.hasTurn &&
      this.#options.demand.longestUnserved(service, level.rank) === rank;
  }

  /** Services whose level is in force. */
  restricted(): string[] {
    return [...this.#services.keys()].filter((service) =>
      this.of(service).rank < Infinity
    );
  }

  #recordOffered({ service, rank }: RankedRequest): void {
    const { level, credits, lastRank } = this.#stateOf(service);
    if (Math.min(rank, lastRank) === level.rank) credits.addShare(level.share);
  }

  #recordStarted({ service, rank }: RankedRequest): void {
    const { level, credits, lastRank } = this.#stateOf(service);
    if (rank < level.rank) return;
    const isMarginal = Math.min(rank, lastRank) === level.rank;
    if (isMarginal && (level.share >= 1 || credits.useShare())) return;
    credits.useTurn();
  }

  #stateOf(service: string): ServiceState {
    const { clock, random } = this.#options;
    let state = this.#services.get(service);
    if (state === undefined) {
      state = {
        level: OPEN_LEVEL,
        lastRank: Infinity,
        computedMs: -Infinity,
        starts: [],
        raise: 1,
        raisedMs: -Infinity,
        credits: new StartCredits({ clock, random }),
      };
      this.#services.set(service, state);
    }
    const nowMs = clock.nowMs();
    if (nowMs - state.computedMs < LEVEL_TTL_MS) return state;
    state.computedMs = nowMs;
    const ranks = this.#options.fleetDemand(service) ?? [];
    state.level = this.#compute(state, ranks);
    state.lastRank = ranks.length < MAX_RANKS
      ? Infinity
      : ranks[MAX_RANKS - 1].rank;
    this.#accrue(service, { state, ranks });
    return state;
  }

  #compute(state: ServiceState, ranks: readonly RankDemand[]): ServiceLevel {
    const nowMs = this.#options.clock.nowMs();
    const startedPerS = sumOf(ranks, "startedPerS");
    const sinceMs = nowMs - CAPACITY_MEMORY_MS;
    state.starts = state.starts.filter(({ atMs }) => atMs > sinceMs);
    state.starts.push({ atMs: nowMs, perS: startedPerS });
    const wasOpen = state.level === OPEN_LEVEL && state.raise === 1;
    const toleratedS = wasOpen ? TOLERATED_WAIT_S : RELEASE_WAIT_S;
    const waiting = sumOf(ranks, "waiting");
    if (startedPerS === 0 || waiting <= startedPerS * toleratedS) {
      state.raise = 1;
      return OPEN_LEVEL;
    }
    if (wasOpen) state.raisedMs = nowMs;
    const capacityPerS = capacityOf(state);
    if (sumOf(ranks, "offeredPerS") < capacityPerS * BACKLOG_LOAD) {
      return OPEN_LEVEL;
    }
    const level = levelOf(ranks, capacityPerS * state.raise);
    const admitted = ranks.filter(({ rank }) => rank < level.rank);
    const isLacking = sumOf(admitted, "waiting") >
      sumOf(admitted, "startedPerS") * TOLERATED_WAIT_S;
    if (isLacking) {
      state.raisedMs = nowMs;
      if (state.raise === 1) return level;
      state.raise = 1;
      return levelOf(ranks, capacityPerS);
    }
    if (nowMs - state.raisedMs < this.#options.exchangeIntervalMs()) {
      return level;
    }
    state.raisedMs = nowMs;
    state.raise = Math.min(MAX_RAISE, state.raise * RAISE_FACTOR);
    return levelOf(ranks, capacityPerS * state.raise);
  }

  /** Gives this host its part of the starts of ranks that do not all start. */
  #accrue(
    service: string,
    { state, ranks }: {
      readonly state: ServiceState;
      readonly ranks: readonly RankDemand[];
    },
  ): void {
    const { demand } = this.#options;
    const { level, credits } = state;
    const behind = ranks.filter(({ rank }) => rank >= level.rank);
    const ownBehind = demand.waitingFrom(service, level.rank);
    const allBehind = Math.max(ownBehind, sumOf(behind, "waiting"), 1);
    credits.accrue({
      sharePerS: level.share * demand.waitingOf(service, level.rank),
      turnsPerS: capacityOf(state) * BEHIND_SHARE * ownBehind / allBehind,
    });
  }
}

function capacityOf({ starts }: ServiceState): number {
  return starts.reduce((max, { perS }) => Math.max(max, perS), 0);
}

function sumOf(
  ranks: readonly RankDemand[],
  field: Exclude<keyof RankDemand, "rank">,
): number {
  return ranks.reduce((sum, one) => sum + one[field], 0);
}

/**
 * The pure part of the fleet-wide admission: from the requests of all hosts for
 * one service, which ranks may start and how long the others wait.
 *
 * @module
 */

import type { RankDemand } from "../peers/demand_codec.ts";

/** One start in this many goes to ranks that do not all start. */
export const BEHIND_SHARE = 1 / 8;
/** Time in which the requests that wait now are to start. */
const DRAIN_S = 1;
/** Bound of estimated waits; no request waits as long. */
const MAX_WAIT_MS = 60_000;

/** Which requests of a service may start. */
export interface ServiceLevel {
  /** Ranks before this one start immediately, those after it wait. */
  readonly rank: number;
  /** Share of the requests of `rank` that start, from 0 to 1. */
  readonly share: number;
  /** Estimated wait of a new request; 0 if unknown. */
  waitMs(rank: number): number;
}

/** All ranks start. */
export const OPEN_LEVEL: ServiceLevel = {
  rank: Infinity,
  share: 1,
  waitMs: () => 0,
};

/**
 * The level at which `capacityPerS` requests start. `ranks` are in increasing
 * order. The first rank with requests always starts: holding it back would leave
 * room for nobody.
 */
export function levelOf(
  ranks: readonly RankDemand[],
  capacityPerS: number,
): ServiceLevel {
  const demandOf = ({ offeredPerS, waiting }: RankDemand): number =>
    offeredPerS + waiting / DRAIN_S;
  const totalPerS = ranks.reduce((sum, one) => sum + demandOf(one), 0);
  if (totalPerS <= capacityPerS) return OPEN_LEVEL;
  const budgetPerS = capacityPerS * (1 - BEHIND_SHARE);
  const waitMs = (rank: number): number =>
    estimateWaitMs(ranks, { rank, capacityPerS });
  let beforePerS = 0;
  for (const one of ranks) {
    const demandPerS = demandOf(one);
    if (demandPerS === 0) continue;
    if (beforePerS + demandPerS > budgetPerS) {
      const share = beforePerS === 0
        ? 1
        : Math.max(0, (budgetPerS - beforePerS) / demandPerS);
      return { rank: one.rank, share, waitMs };
    }
    beforePerS += demandPerS;
  }
  return OPEN_LEVEL;
}

/**
 * Time until the requests that wait, up to the rank, have started at what the
 * more urgent new requests leave.
 */
function estimateWaitMs(
  ranks: readonly RankDemand[],
  { rank, capacityPerS }: {
    readonly rank: number;
    readonly capacityPerS: number;
  },
): number {
  let aheadCount = 0;
  let urgentPerS = 0;
  for (const one of ranks) {
    if (one.rank <= rank) aheadCount += one.waiting;
    if (one.rank < rank) urgentPerS += one.offeredPerS;
  }
  const ratePerS = Math.max(
    capacityPerS - urgentPerS,
    capacityPerS * BEHIND_SHARE,
  );
  if (aheadCount === 0 || ratePerS <= 0) return 0;
  return Math.min(MAX_WAIT_MS, Math.ceil(aheadCount / ratePerS * 1_000));
}

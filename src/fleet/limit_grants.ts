/**
 * Division of a limit: computes the grant of one host given the allocations of
 * the others, max-min fair between the requesting hosts.
 *
 * @module
 */

/** Maximum sum of all shares, as a fraction of the limit. */
const MAX_ALLOCATED_FRACTION = 1.04;
/** The same for slots, which are idle between requests more often. */
const MAX_ALLOCATED_SLOTS_FRACTION = 1.08;
/** Fraction of the spare capacity allocated; the rest is left for new hosts. */
const SPARE_FRACTION = 0.7;
/** Spare capacity is divided by at least this number of hosts. */
const MIN_SPARE_PARTS = 10;

/** Inputs of a grant besides the demand of the requesting host. */
export interface GrantContext {
  readonly limit: number;
  /** Demand and allocation of each other host. */
  readonly others: readonly { wanted: number; held: number }[];
}

/**
 * Returns the share of a host with demand `wanted`. A host that demands less
 * than it holds counts by its demand, so that no part of the limit is idle; the
 * sum of all shares never exceeds `MAX_ALLOCATED_FRACTION` of the limit.
 */
export function grant(wanted: number, { limit, others }: GrantContext): number {
  const demands = [...others.map((other) => other.wanted), wanted];
  const total = sum(demands);
  const held = sum(others.map((other) => other.held));
  const used = sum(others.map((other) => Math.min(other.held, other.wanted)));
  const maxAllocated = limit * MAX_ALLOCATED_FRACTION;
  const isScarce = total > limit;
  const level = isScarce ? waterLevel(demands, limit) : Infinity;
  const spare = isScarce
    ? maxAllocated - limit
    : (maxAllocated - total) * SPARE_FRACTION;
  const isCapped = wanted >= level;
  const bonus = isCapped
    ? 0
    : spare / Math.max(demands.length, MIN_SPARE_PARTS);
  const target = Math.min(wanted, level) + bonus;
  const free = isCapped ? limit - used : Infinity;
  return Math.max(0, Math.min(target, free, maxAllocated - held));
}

/** Like {@link grant}, for slots, which are indivisible. */
export function grantSlots(
  wanted: number,
  { limit, others }: GrantContext,
): number {
  const maxAllocated = limit * MAX_ALLOCATED_SLOTS_FRACTION;
  const held = sum(others.map((other) => other.held));
  const free = Math.max(0, Math.floor(maxAllocated - held));
  const demands = [...others.map((other) => other.wanted), wanted];
  const total = sum(demands);
  const parts = Math.max(demands.length, MIN_SPARE_PARTS);
  const target = total <= maxAllocated
    ? wanted + Math.floor((maxAllocated - total) * SPARE_FRACTION / parts)
    : Math.min(
      wanted,
      Math.max(
        Math.ceil(waterLevel(demands, maxAllocated)),
        Math.floor(free * SPARE_FRACTION),
      ),
    );
  return Math.min(free, wanted > 0 ? Math.max(1, target) : 0);
}

/**
 * Water-filling: returns the level to which demands are capped so that they add
 * up to `limit`; Infinity if their sum does not exceed it.
 */
export function waterLevel(demands: readonly number[], limit: number): number {
  const sorted = [...demands].sort((one, other) => one - other);
  let remaining = limit;
  for (const [index, demand] of sorted.entries()) {
    const evenShare = remaining / (sorted.length - index);
    if (demand > evenShare) return evenShare;
    remaining -= demand;
  }
  return Infinity;
}

export function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

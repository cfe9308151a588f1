/**
 * How a limit is divided: what one host is granted beside the others, max-min
 * fair between those who ask.
 *
 * @module
 */

/** Part of the limit that all shares together may come to. */
const MAX_ALLOCATED_FRACTION = 1.04;
/** The same for slots, of which more lie idle for a moment. */
const MAX_ALLOCATED_SLOTS_FRACTION = 1.08;
/** Part of what nobody wants that is lent; the rest waits for the next to ask. */
const SPARE_FRACTION = 0.7;
/** Spare room is divided as if at least this many hosts had asked. */
const MIN_SPARE_PARTS = 10;

/** What a grant depends on besides the demand of the one who asks. */
export interface GrantContext {
  readonly limit: number;
  /** Loans of the others: what each wants, and what it holds. */
  readonly others: readonly { wanted: number; held: number }[];
}

/**
 * The share of one that wants `wanted`. One that wants less than it holds
 * counts with what it wants, so that no part of the limit lies idle; all that
 * is held together never exceeds `MAX_LENT_FRACTION` of the limit.
 */
export function grant(wanted: number, { limit, others }: GrantContext): number {
  const demands = [...others.map((loan) => loan.wanted), wanted];
  const total = sum(demands);
  const held = sum(others.map((loan) => loan.held));
  const used = sum(others.map((loan) => Math.min(loan.held, loan.wanted)));
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

/** As {@link grant} for slots, which cannot be divided. */
export function grantSlots(
  wanted: number,
  { limit, others }: GrantContext,
): number {
  const maxAllocated = limit * MAX_ALLOCATED_SLOTS_FRACTION;
  const held = sum(others.map((loan) => loan.held));
  const free = Math.max(0, Math.floor(maxAllocated - held));
  const demands = [...others.map((loan) => loan.wanted), wanted];
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

/** The level at which the parts of demand below it add up to `limit`. */
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

/** The sum of some values. */
export function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

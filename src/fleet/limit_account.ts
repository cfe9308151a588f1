/**
 * Account of one customer on this host: its share of the limits, its use and
 * its demand.
 *
 * @module
 */

import type { LimitLease } from "./types.ts";

/** Capacity of the token bucket, as time at the rate of the share. */
const BURST_MS = 500;
/** Minimum capacity; a low rate would otherwise lose tokens it cannot store. */
const MIN_BURST = 3;
const MIN_ABUNDANT_BURST = 4;
/** Demand is measured over the shortest window with enough arrivals. */
const WINDOWS_MS = [250, 700, 3_000, 10_000, 60_000];
/** Windows up to this length are corrected for the age of a new account. */
const MAX_WARM_UP_WINDOW_MS = 1_000;
const MIN_ARRIVALS = 6;
/**
 * Demand drops at once if a shorter window has less than this fraction of it.
 */
const DROP_FRACTION = 0.5;
const MIN_DROP_ARRIVALS = 5;
const MIN_AGE_MS = 300;

/** Share of the limits in effect on this host. */
export interface Share {
  readonly requestsPerS: number;
  readonly slots: number;
}

/** Token bucket, running requests and demand of one customer. */
export class LimitAccount {
  #tokens = 1;
  #atMs: number;
  readonly #rates: readonly ArrivalRate[];
  /** Admitted requests not yet reported to the limit owner. */
  usedCount = 0;
  #rejectedSlots = 0;
  running = 0;
  lease: LimitLease | undefined;
  /** Name of the host that granted the lease. */
  leaseOwner = "";
  leaseEndsMs = 0;
  lastUsedMs: number;
  lastRequestedMs = -Infinity;
  lastWantedPerS = 0;
  /** Idle slots at the start of the lease. */
  lastIdleSlots = 0;
  /** Minimum delay before a larger share is requested again. */
  requestDelayMs = 0;
  /** Set when a request was rejected because the share was used up. */
  isInsufficient = false;

  constructor(readonly partition: number, nowMs: number) {
    this.#atMs = nowMs;
    this.#rates = WINDOWS_MS.map((windowMs) =>
      new ArrivalRate(windowMs, nowMs)
    );
    this.lastUsedMs = nowMs;
  }

  /** Recent arrivals per second, including rejected requests. */
  demandPerS(nowMs: number): number {
    const { steadyPerS, shorter } = steadyRate(this.#rates, nowMs);
    for (const rate of shorter) {
      const perS = rate.perS(nowMs);
      const isDrop = perS < steadyPerS * DROP_FRACTION;
      if (isDrop && rate.expectedArrivals(steadyPerS) >= MIN_DROP_ARRIVALS) {
        return perS;
      }
    }
    return steadyPerS;
  }

  get isUsedSinceRequest(): boolean {
    return this.running > 0 || this.lastUsedMs > this.lastRequestedMs;
  }

  /** Running requests, plus growth for those rejected since the last call. */
  consumeWantedSlots(): number {
    const used = Math.max(1, this.running);
    const growth = Math.min(this.#rejectedSlots, used + 1);
    this.#rejectedSlots = 0;
    return used + growth;
  }

  recordArrival(nowMs: number): void {
    for (const rate of this.#rates) rate.add(nowMs);
    this.lastUsedMs = nowMs;
  }

  /** Takes a token and a slot, or returns which of them was unavailable. */
  tryAcquire(share: Share, nowMs: number): "taken" | "rate" | "slots" {
    this.#refill(share, nowMs);
    if (this.running >= share.slots) {
      this.#rejectedSlots += 1;
      return "slots";
    }
    if (this.#tokens < 1) return "rate";
    this.#tokens -= 1;
    this.usedCount += 1;
    this.running += 1;
    return "taken";
  }

  /** Raises the tokens to a minimum; for limits that are not scarce. */
  raiseTokensTo(tokens: number): void {
    this.#tokens = Math.max(this.#tokens, tokens);
  }

  msUntilNextToken(share: Share): number {
    return (1 - this.#tokens) * 1_000 / Math.max(share.requestsPerS, 0.001);
  }

  /** Adds tokens at the rate of the share that was in effect until now. */
  refill(share: Share, nowMs: number): void {
    this.#refill(share, nowMs);
  }

  #refill(share: Share, nowMs: number): void {
    // nowMs may have been read before this account was created.
    const earnedMs = Math.max(0, nowMs - this.#atMs);
    const earned = earnedMs * share.requestsPerS / 1_000;
    const isAbundant = this.lease !== undefined && !this.lease.isScarce;
    const minBurst = isAbundant ? MIN_ABUNDANT_BURST : MIN_BURST;
    const maxTokens = Math.max(minBurst, share.requestsPerS * BURST_MS / 1_000);
    this.#tokens = Math.min(maxTokens, this.#tokens + earned);
    this.#atMs = Math.max(this.#atMs, nowMs);
  }
}

/**
 * Returns the rate over the shortest window with enough arrivals, or the
 * longest.
 */
function steadyRate(
  rates: readonly ArrivalRate[],
  nowMs: number,
): { steadyPerS: number; shorter: readonly ArrivalRate[] } {
  let maxPerS = Infinity;
  let steadyPerS = 0;
  for (const [index, rate] of rates.entries()) {
    steadyPerS = Math.min(maxPerS, rate.perS(nowMs));
    if (steadyPerS >= rate.minReliablePerS) {
      return { steadyPerS, shorter: rates.slice(0, index) };
    }
    maxPerS = rate.minReliablePerS;
  }
  return { steadyPerS, shorter: rates };
}

/** Arrivals per second as an exponentially weighted moving average. */
class ArrivalRate {
  /** Minimum rate at which the window has enough arrivals. */
  readonly minReliablePerS: number;
  readonly #windowMs: number;
  readonly #startMs: number;
  #count = 0;
  #atMs: number;

  constructor(windowMs: number, nowMs: number) {
    this.#windowMs = windowMs;
    this.minReliablePerS = MIN_ARRIVALS * 1_000 / windowMs;
    this.#startMs = nowMs;
    this.#atMs = nowMs;
  }

  /** Returns the number of arrivals in the window at a given rate. */
  expectedArrivals(perS: number): number {
    return perS * this.#windowMs / 1_000;
  }

  add(nowMs: number): void {
    this.#decay(nowMs);
    this.#count += 1;
  }

  perS(nowMs: number): number {
    this.#decay(nowMs);
    // In a long window the correction would overstate the first requests.
    const isWarmUpCorrected = this.#windowMs <= MAX_WARM_UP_WINDOW_MS;
    const ageMs = Math.max(MIN_AGE_MS, nowMs - this.#startMs);
    const observedFraction = isWarmUpCorrected
      ? 1 - Math.exp(-ageMs / this.#windowMs)
      : 1;
    return this.#count * 1_000 / (this.#windowMs * observedFraction);
  }

  #decay(nowMs: number): void {
    this.#count *= Math.exp(-(nowMs - this.#atMs) / this.#windowMs);
    this.#atMs = nowMs;
  }
}

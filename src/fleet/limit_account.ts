/**
 * One customer's account on this host: its share, what it used of it, and how
 * much is asked for.
 *
 * @module
 */

import type { LimitLease } from "./types.ts";

/** Tokens kept are worth this much time of the share's rate. */
const BURST_MS = 500;
/** Least room for tokens; a slow share would else lose those it cannot keep. */
const MIN_BURST = 3;
const MIN_ABUNDANT_BURST = 4;
/** Demand is taken over the shortest window that holds enough arrivals. */
const WINDOWS_MS = [250, 700, 3_000, 10_000, 60_000];
/** Up to here a window of a new account counts from its first arrival. */
const MAX_WARM_UP_WINDOW_MS = 1_000;
const MIN_ARRIVALS = 6;
/** A shorter window is believed at once when it holds less than this part. */
const DROP_FRACTION = 0.5;
const MIN_DROP_ARRIVALS = 5;
const MIN_AGE_MS = 300;

/** Share of the limits that is in force on this host. */
export interface Share {
  readonly requestsPerS: number;
  readonly slots: number;
}

/** Tokens, running requests and demand of one customer. */
export class LimitAccount {
  #tokens = 1;
  #atMs: number;
  readonly #rates: readonly ArrivalRate[];
  /** Requests admitted that the home has not been told of. */
  usedCount = 0;
  #rejectedSlots = 0;
  running = 0;
  lease: LimitLease | undefined;
  /** Name of the host that gave the lease. */
  leaseOwner = "";
  leaseEndsMs = 0;
  lastUsedMs: number;
  lastRequestedMs = -Infinity;
  lastWantedPerS = 0;
  /** Slots that were idle when the lease began. */
  lastIdleSlots = 0;
  /** How long to wait before a short share is asked for again. */
  requestDelayMs = 0;
  /** Set when a request was refused for want of a share. */
  isInsufficient = false;

  constructor(readonly partition: number, nowMs: number) {
    this.#atMs = nowMs;
    this.#rates = WINDOWS_MS.map((windowMs) =>
      new ArrivalRate(windowMs, nowMs)
    );
    this.lastUsedMs = nowMs;
  }

  /** Requests a second that arrived lately, refused ones included. */
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

  /** Requests that run, and more if one was refused since this was asked. */
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

  /** Takes a token and a slot; else says which was lacking. */
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

  /** Raises the tokens to a number, where the limit is not scarce. */
  raiseTokensTo(tokens: number): void {
    this.#tokens = Math.max(this.#tokens, tokens);
  }

  /** How long until the share has earned the next token. */
  msUntilNextToken(share: Share): number {
    return (1 - this.#tokens) * 1_000 / Math.max(share.requestsPerS, 0.001);
  }

  /** Earns tokens under the share that was in force until now. */
  refill(share: Share, nowMs: number): void {
    this.#refill(share, nowMs);
  }

  #refill(share: Share, nowMs: number): void {
    // A reading of the clock taken before this account was made earns nothing.
    const earnedMs = Math.max(0, nowMs - this.#atMs);
    const earned = earnedMs * share.requestsPerS / 1_000;
    const isAbundant = this.lease !== undefined && !this.lease.isScarce;
    const minBurst = isAbundant ? MIN_ABUNDANT_BURST : MIN_BURST;
    const maxTokens = Math.max(minBurst, share.requestsPerS * BURST_MS / 1_000);
    this.#tokens = Math.min(maxTokens, this.#tokens + earned);
    this.#atMs = Math.max(this.#atMs, nowMs);
  }
}

/** The rate over the shortest window with enough arrivals, or the longest. */
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

/** Arrivals a second, weighted towards the recent ones. */
class ArrivalRate {
  /** The rate from which on the window holds enough arrivals. */
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

  /** Arrivals in the window at a rate. */
  expectedArrivals(perS: number): number {
    return perS * this.#windowMs / 1_000;
  }

  add(nowMs: number): void {
    this.#decay(nowMs);
    this.#count += 1;
  }

  perS(nowMs: number): number {
    this.#decay(nowMs);
    // A long window would take one first request for a high rate.
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

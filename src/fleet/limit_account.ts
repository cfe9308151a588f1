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
const MIN_PLENTY_BURST = 4;
/** Demand is taken over the shortest window that holds enough arrivals. */
const WINDOWS_MS = [250, 700, 3_000, 10_000, 60_000];
/** Up to here a window of a new account counts from its first arrival. */
const MAX_YOUNG_WINDOW_MS = 1_000;
const ENOUGH_ARRIVALS = 6;
/** A shorter window is believed at once when it holds less than this part. */
const DROP_FRACTION = 0.5;
const DROP_ARRIVALS = 5;
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
  #refusedSlots = 0;
  running = 0;
  lease: LimitLease | undefined;
  /** Name of the host that gave the lease. */
  leaseHome = "";
  leaseEndsMs = 0;
  lastUsedMs: number;
  lastAskedMs = -Infinity;
  lastWantedPerS = 0;
  /** Slots that were idle when the lease began. */
  lastIdleSlots = 0;
  /** How long to wait before a short share is asked for again. */
  askWaitMs = 0;
  /** Set when a request was refused for want of a share. */
  isShort = false;

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
      if (isDrop && rate.expects(steadyPerS) >= DROP_ARRIVALS) return perS;
    }
    return steadyPerS;
  }

  get isUsedSinceAsked(): boolean {
    return this.running > 0 || this.lastUsedMs > this.lastAskedMs;
  }

  /** Requests that run, and more if one was refused since this was asked. */
  takeWantedSlots(): number {
    const used = Math.max(1, this.running);
    const growth = Math.min(this.#refusedSlots, used + 1);
    this.#refusedSlots = 0;
    return used + growth;
  }

  noteArrival(nowMs: number): void {
    for (const rate of this.#rates) rate.add(nowMs);
    this.lastUsedMs = nowMs;
  }

  /** Takes a token and a slot; else says which was lacking. */
  take(share: Share, nowMs: number): "taken" | "rate" | "slots" {
    this.#refill(share, nowMs);
    if (this.running >= share.slots) {
      this.#refusedSlots += 1;
      return "slots";
    }
    if (this.#tokens < 1) return "rate";
    this.#tokens -= 1;
    this.usedCount += 1;
    this.running += 1;
    return "taken";
  }

  /** Raises the tokens to a number, where the limit is not scarce. */
  fillTo(tokens: number): void {
    this.#tokens = Math.max(this.#tokens, tokens);
  }

  /** How long until the share has earned the next token. */
  nextTokenMs(share: Share): number {
    return (1 - this.#tokens) * 1_000 / Math.max(share.requestsPerS, 0.001);
  }

  /** Earns tokens under the share that was in force until now. */
  refill(share: Share, nowMs: number): void {
    this.#refill(share, nowMs);
  }

  #refill(share: Share, nowMs: number): void {
    const spanMs = Math.max(0, nowMs - this.#atMs);
    const earned = spanMs * share.requestsPerS / 1_000;
    const isPlenty = this.lease !== undefined && !this.lease.isScarce;
    const least = isPlenty ? MIN_PLENTY_BURST : MIN_BURST;
    const room = Math.max(least, share.requestsPerS * BURST_MS / 1_000);
    this.#tokens = Math.min(room, this.#tokens + earned);
    this.#atMs = nowMs;
  }
}

/** The rate over the shortest window with enough arrivals, or the longest. */
function steadyRate(
  rates: readonly ArrivalRate[],
  nowMs: number,
): { steadyPerS: number; shorter: readonly ArrivalRate[] } {
  let mostPerS = Infinity;
  let steadyPerS = 0;
  for (const [index, rate] of rates.entries()) {
    steadyPerS = Math.min(mostPerS, rate.perS(nowMs));
    if (steadyPerS >= rate.enoughPerS) {
      return { steadyPerS, shorter: rates.slice(0, index) };
    }
    mostPerS = rate.enoughPerS;
  }
  return { steadyPerS, shorter: rates };
}

/** Arrivals a second, weighted towards the recent ones. */
class ArrivalRate {
  /** The rate from which on the window holds enough arrivals. */
  readonly enoughPerS: number;
  readonly #windowMs: number;
  readonly #startMs: number;
  #count = 0;
  #atMs: number;

  constructor(windowMs: number, nowMs: number) {
    this.#windowMs = windowMs;
    this.enoughPerS = ENOUGH_ARRIVALS * 1_000 / windowMs;
    this.#startMs = nowMs;
    this.#atMs = nowMs;
  }

  /** Arrivals in the window at a rate. */
  expects(perS: number): number {
    return perS * this.#windowMs / 1_000;
  }

  add(nowMs: number): void {
    this.#decay(nowMs);
    this.#count += 1;
  }

  perS(nowMs: number): number {
    this.#decay(nowMs);
    // A long window would take one first request for a high rate.
    const isYoung = this.#windowMs <= MAX_YOUNG_WINDOW_MS;
    const ageMs = Math.max(MIN_AGE_MS, nowMs - this.#startMs);
    const seen = isYoung ? 1 - Math.exp(-ageMs / this.#windowMs) : 1;
    return this.#count * 1_000 / (this.#windowMs * seen);
  }

  #decay(nowMs: number): void {
    this.#count *= Math.exp(-(nowMs - this.#atMs) / this.#windowMs);
    this.#atMs = nowMs;
  }
}

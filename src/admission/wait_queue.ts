/**
 * Queues requests that wait for capacity. Starts the request that costs most to
 * delay first, and refuses the one that costs least to refuse first, see
 * `refusal_cost.ts`. A smaller request may overtake a larger one only for a
 * short time, so that large requests are not starved. Pure but for the clock.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { KindMeans } from "./kind_means.ts";
import { RankRates } from "./rank_rates.ts";
import {
  compareCosts,
  type CostInputs,
  refusalCost,
  type RequestNeeds,
} from "./refusal_cost.ts";
import { type ReturnRequest, ReturnSchedule } from "./return_schedule.ts";

/** Number of waiters without capacity that those behind them may overtake. */
const MAX_OVERTAKEN = 6;
/** A waiter without capacity that has waited longer blocks those behind it. */
const OVERTAKABLE_FOR_MS = 250;
/** One in this many starts goes to the oldest waiter of the less urgent ranks. */
const STARTS_PER_AGED_START = 8;
/**
 * Estimated waits count only after requests have waited for this long, since the
 * rate of starts tells nothing of the capacity while there is enough.
 */
const MIN_CONGESTION_MS = 300;
/** The rate of a few starts per second is off by a third or more. */
const ESTIMATE_TOLERANCE = 1.5;
/** Weight of the newest observed time to the first event. */
const FIRST_EVENT_WEIGHT = 0.1;
/** Latency goal assumed for a waiter that names no needs. */
const DEFAULT_GOAL_MS = 500;

export type RefusalReason =
  | "wait expired"
  | "queue full"
  | "first event too late"
  | "estimated wait too long";

/** Why the queue refused a waiter. */
export interface Refusal extends CostInputs {
  readonly reason: RefusalReason;
  readonly rank: number;
  readonly cost: number;
  /** Undefined if the rate of starts is unknown. */
  readonly estimatedWaitMs: number | undefined;
  readonly waiting: number;
  /** The request that was started or kept instead; undefined if there is none. */
  readonly inFavourOf: string | undefined;
}

export interface Waiter {
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly untilMs: number;
  /** Undefined for a request that is compared by rank and time waited only. */
  readonly needs?: RequestNeeds;
  /** Starts the request and returns true, or returns false without capacity. */
  tryStart(): boolean;
  /** Called once if the request is refused. */
  refuse(refusal: Refusal): void;
}

/** Receives the counts of requests by rank. */
export interface DemandObserver {
  onOffered?(rank: number): void;
  onStarted?(rank: number): void;
  /** The number of waiting requests of a rank has changed. */
  onWaiting?(rank: number, count: number): void;
}

export interface WaitQueueOptions {
  readonly clock: Clock;
  readonly maxWaiting: number;
  readonly random?: () => number;
  /** Whether requests of a rank may start now; by default, always. */
  readonly mayStart?: (rank: number) => boolean;
  /** Estimated wait by the fleet's load; undefined if it is unknown. */
  readonly fleetWaitMs?: (rank: number) => number | undefined;
  readonly observer?: DemandObserver;
}

interface QueueEntry {
  readonly waiter: Waiter;
  readonly rank: number;
  readonly sinceMs: number;
  readonly relativeSize: number;
  readonly relativeWork: number;
  /** Time from which the wait counts; later than `sinceMs` for an early return. */
  readonly countsFromMs: number;
  /** Arrival of the first attempt. */
  readonly firstMs: number;
  cost: number;
}

/** The queue of one service at one host. */
export class WaitQueue {
  readonly #options: WaitQueueOptions;
  readonly #clock: Clock;
  readonly #sizes = new KindMeans();
  readonly #work = new KindMeans();
  readonly #rates: RankRates;
  readonly #returns: ReturnSchedule;
  readonly #waitingByRank = new Map<number, number>();
  /** The request that costs most to delay first, as of the last `#sort`. */
  #entries: QueueEntry[] = [];
  #congestedSinceMs = 0;
  #startsSinceAged = 0;
  #lastStarted: string | undefined;
  #firstEventMs = 0;

  constructor(options: WaitQueueOptions) {
    const { clock, random, fleetWaitMs } = options;
    this.#options = options;
    this.#clock = clock;
    this.#rates = new RankRates({ clock });
    this.#returns = new ReturnSchedule({
      clock,
      rates: this.#rates,
      random,
      fleetWaitMs,
      waitingUpTo: (rank) => this.#waitingUpTo(rank),
    });
  }

  get length(): number {
    return this.#entries.length;
  }

  /** Number of waiting requests by rank. */
  get waitingByRank(): ReadonlyMap<number, number> {
    return this.#waitingByRank;
  }

  /** Starts the request at once, or queues it, or refuses it. */
  add(waiter: Waiter): void {
    this.#options.observer?.onOffered?.(waiter.rank);
    this.#rates.recordOffered(waiter.rank);
    const entry = this.#describe(waiter);
    if (this.#entries.length === 0) {
      if (this.#tryStart(entry)) return;
      this.#congestedSinceMs = this.#clock.nowMs();
    }
    this.#entries.push(entry);
    this.#changeWaiting(entry.rank, 1);
    this.#sort();
    const index = this.#entries.indexOf(entry);
    if (index === 0 && this.#entries.length > 1) {
      if (this.#tryStart(entry)) {
        this.#drop(entry);
        return;
      }
    } else if (index > 0 && index <= MAX_OVERTAKEN) this.dispatch();
    this.#refuseHopeless();
    if (this.#entries.length <= this.#options.maxWaiting) return;
    const last = this.#entries.at(-1);
    if (last !== undefined) this.#refuse(last, "queue full");
  }

  /** Starts waiters that have capacity and refuses those that wait in vain. */
  dispatch(): void {
    if (this.#entries.length === 0) return;
    this.expire();
    this.#sort();
    this.#startAged();
    const nowMs = this.#clock.nowMs();
    const started = new Set<QueueEntry>();
    let overtaken = 0;
    // A start may change the queue, so the loop runs over a copy.
    for (const entry of [...this.#entries]) {
      if (!this.#mayStart(entry.rank)) continue;
      if (this.#tryStart(entry)) {
        started.add(entry);
        this.#startsSinceAged++;
        continue;
      }
      overtaken++;
      const isBlocking = nowMs - entry.sinceMs > OVERTAKABLE_FOR_MS;
      if (isBlocking || overtaken > MAX_OVERTAKEN) break;
    }
    if (started.size > 0) {
      this.#entries = this.#entries.filter((entry) => !started.has(entry));
      for (const { rank } of started) this.#changeWaiting(rank, -1);
    }
    this.#refuseHopeless();
  }

  /** Refuses waiters whose wait has expired. */
  expire(): void {
    const nowMs = this.#clock.nowMs();
    for (const entry of [...this.#entries]) {
      if (this.#untilMs(entry) > nowMs) continue;
      this.#refuse(
        entry,
        entry.waiter.untilMs <= nowMs ? "wait expired" : "first event too late",
      );
    }
  }

  /** Removes a waiter whose caller has disconnected or whose deadline has passed. */
  remove(waiter: Waiter): void {
    const entry = this.#entries.find((other) => other.waiter === waiter);
    if (entry !== undefined) this.#drop(entry);
  }

  /** Records the observed time from a start to the first event. */
  recordFirstEvent(tookMs: number): void {
    this.#firstEventMs += this.#firstEventMs === 0
      ? tookMs
      : FIRST_EVENT_WEIGHT * (tookMs - this.#firstEventMs);
  }

  /**
   * Reserves the time at which a refused caller is to return; returns the time
   * until then, or undefined if the rate of starts is unknown.
   */
  reserveReturn(request: ReturnRequest): number | undefined {
    return this.#returns.reserve(request);
  }

  #describe(waiter: Waiter): QueueEntry {
    const { needs, rank } = waiter;
    const nowMs = this.#clock.nowMs();
    const booking = needs && this.#returns.bookingOf(needs.contentId);
    return {
      waiter,
      rank,
      sinceMs: nowMs,
      relativeSize: needs ? this.#sizes.addRelative(needs.kind, needs.size) : 1,
      relativeWork: needs ? this.#work.addRelative("", needs.workMs) : 1,
      countsFromMs: booking === undefined
        ? needs?.receivedMs ?? nowMs
        : nowMs + this.#returns.earlyMs(booking),
      firstMs: booking?.firstMs ?? needs?.receivedMs ?? nowMs,
      cost: 0,
    };
  }

  #costInputs(entry: QueueEntry): CostInputs {
    const nowMs = this.#clock.nowMs();
    const { relativeSize, relativeWork, firstMs, waiter: { needs } } = entry;
    const goalMs = needs?.goalMs ?? DEFAULT_GOAL_MS;
    return {
      relativeSize,
      relativeWork,
      canBeInTime: needs === undefined ||
        nowMs + this.#firstEventMs <= firstMs + goalMs,
      waitedMs: nowMs - entry.countsFromMs,
      goalMs,
    };
  }

  /** Time until which the start of a waiter is of use. */
  #untilMs({ waiter: { untilMs, needs } }: QueueEntry): number {
    if (needs === undefined) return untilMs;
    // An estimate above the patience must not refuse every request.
    const firstEventMs = Math.min(this.#firstEventMs, needs.patienceMs / 2);
    return Math.min(
      untilMs,
      needs.receivedMs + needs.patienceMs - firstEventMs,
    );
  }

  #sort(): void {
    for (const entry of this.#entries) {
      entry.cost = refusalCost(this.#costInputs(entry));
    }
    this.#entries.sort(compareCosts);
  }

  #mayStart(rank: number): boolean {
    return this.#options.mayStart?.(rank) ?? true;
  }

  #tryStart(entry: QueueEntry): boolean {
    const { rank, waiter } = entry;
    if (!this.#mayStart(rank) || !waiter.tryStart()) return false;
    this.#rates.recordStarted();
    this.#options.observer?.onStarted?.(rank);
    if (waiter.needs !== undefined) {
      this.#lastStarted = waiter.needs.requestId;
      this.#returns.release(waiter.needs.contentId);
    }
    return true;
  }

  /** Starts the oldest waiter behind the most urgent rank, if it is its turn. */
  #startAged(): void {
    if (this.#startsSinceAged < STARTS_PER_AGED_START - 1) return;
    const oldest = this.#oldestBehind();
    if (oldest === undefined || !this.#tryStart(oldest)) return;
    this.#startsSinceAged = 0;
    this.#drop(oldest);
  }

  /** The oldest waiter of the ranks behind the first one's that may start. */
  #oldestBehind(): QueueEntry | undefined {
    const firstRank = this.#entries.at(0)?.rank;
    let oldest: QueueEntry | undefined;
    for (const entry of this.#entries) {
      if (entry.rank === firstRank || !this.#mayStart(entry.rank)) continue;
      if (oldest === undefined || entry.sinceMs < oldest.sinceMs) {
        oldest = entry;
      }
    }
    return oldest;
  }

  /**
   * Refuses those that can't be started in time, the least costly first. The
   * next waiter that starts by its age stays, or its rank would starve.
   */
  #refuseHopeless(): void {
    this.expire();
    const nowMs = this.#clock.nowMs();
    if (nowMs - this.#congestedSinceMs < MIN_CONGESTION_MS) return;
    const spared = this.#oldestBehind();
    const startsPerMs = this.#rates.startsPerMs();
    let ahead = 0;
    for (const entry of [...this.#entries]) {
      const estimatedMs = this.#estimateWaitMs(entry.rank, ahead, startsPerMs);
      const canWaitMs = this.#untilMs(entry) - nowMs;
      const canStart = estimatedMs === undefined ||
        estimatedMs <= canWaitMs * ESTIMATE_TOLERANCE;
      if (canStart || entry === spared) ahead++;
      else this.#refuse(entry, "estimated wait too long", estimatedMs);
    }
  }

  /** Undefined if the rate of starts is unknown. */
  #estimateWaitMs(
    rank: number,
    ahead: number,
    startsPerMs = this.#rates.startsPerMs(),
  ): number | undefined {
    const fleetWaitMs = this.#options.fleetWaitMs?.(rank);
    if (startsPerMs === undefined) return fleetWaitMs;
    return Math.max((ahead + 1) / startsPerMs, fleetWaitMs ?? 0);
  }

  #refuse(
    entry: QueueEntry,
    reason: RefusalReason,
    estimatedWaitMs = this.#estimateWaitMs(
      entry.rank,
      this.#entries.indexOf(entry),
    ),
  ): void {
    this.#drop(entry);
    const inputs = this.#costInputs(entry);
    const cost = refusalCost(inputs);
    const first = this.#entries.at(0);
    const isBehind = first !== undefined &&
      compareCosts(first, { rank: entry.rank, cost }) <= 0;
    entry.waiter.refuse({
      ...inputs,
      reason,
      rank: entry.rank,
      cost,
      estimatedWaitMs,
      waiting: this.#entries.length,
      inFavourOf: isBehind ? first.waiter.needs?.requestId : this.#lastStarted,
    });
  }

  #drop(entry: QueueEntry): void {
    const index = this.#entries.indexOf(entry);
    if (index < 0) return;
    this.#entries.splice(index, 1);
    this.#changeWaiting(entry.rank, -1);
  }

  #changeWaiting(rank: number, change: 1 | -1): void {
    const count = (this.#waitingByRank.get(rank) ?? 0) + change;
    if (count > 0) this.#waitingByRank.set(rank, count);
    else this.#waitingByRank.delete(rank);
    this.#options.observer?.onWaiting?.(rank, count);
  }

  #waitingUpTo(rank: number): number {
    let count = 0;
    for (const [other, waiting] of this.#waitingByRank) {
      if (other <= rank) count += waiting;
    }
    return count;
  }
}

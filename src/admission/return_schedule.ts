/**
 * Schedule of the times at which refused callers are asked to return. Each
 * refusal reserves a slot, and there are as many slots as the service starts
 * requests at this host. Pure but for the clock.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { RankRates } from "./rank_rates.ts";

const MIN_RETURN_MS = 200;
const MAX_RETURN_MS = 5_000;
/** Without a free slot, callers return spread over this last part of the time. */
const OVERFLOW_FRACTION = 0.25;
/** A less urgent rank gets at least every eighth slot. */
const MAX_STRIDE = 8;
/** Callers' timers and the network make a return this much early or late. */
const RETURN_TOLERANCE_MS = 50;
/** Time for which a caller that is overdue is still known. */
const KEEP_OVERDUE_MS = 3_000;
const MAX_BOOKINGS = 1_000;

export interface Booking {
  readonly contentId: string;
  readonly rank: number;
  readonly atMs: number;
  /** Arrival of the first attempt. */
  readonly firstMs: number;
}

export interface ReturnRequest {
  readonly rank: number;
  readonly contentId: string;
  readonly receivedMs: number;
}

export interface ReturnScheduleOptions {
  readonly clock: Clock;
  readonly rates: Pick<RankRates, "startsPerMs" | "urgentOffersPerMs">;
  /** Number of requests that wait with this rank or a more urgent one. */
  readonly waitingUpTo: (rank: number) => number;
  /** Estimated wait by the fleet's load; undefined if it is unknown. */
  readonly fleetWaitMs?: (rank: number) => number | undefined;
  readonly random?: () => number;
}

export class ReturnSchedule {
  readonly #options: ReturnScheduleOptions;
  readonly #random: () => number;
  /** By time. */
  #bookings: Booking[] = [];
  readonly #byContent = new Map<string, Booking>();

  constructor(options: ReturnScheduleOptions) {
    this.#options = options;
    this.#random = options.random ?? Math.random;
  }

  /**
   * Reserves a slot for a refused request; returns the time until then, or
   * undefined if the rate is unknown. A caller that returned early and is
   * refused again keeps its slot.
   */
  reserve(request: ReturnRequest): number | undefined {
    const { clock, rates } = this.#options;
    const nowMs = clock.nowMs();
    this.#dropOverdue(nowMs);
    const previous = this.#byContent.get(request.contentId);
    if (previous !== undefined && previous.atMs >= nowMs + MIN_RETURN_MS) {
      return previous.atMs - nowMs;
    }
    if (previous !== undefined) this.#remove(previous);
    const startsPerMs = rates.startsPerMs();
    if (startsPerMs === undefined) return undefined;
    const atMs = this.#nextFreeMs(request.rank, startsPerMs);
    if (
      atMs > nowMs + MAX_RETURN_MS || this.#bookings.length >= MAX_BOOKINGS
    ) {
      return MAX_RETURN_MS * (1 - OVERFLOW_FRACTION * this.#random());
    }
    const { rank, contentId } = request;
    const firstMs = previous?.firstMs ?? request.receivedMs;
    this.#insert({ rank, contentId, atMs, firstMs });
    return atMs - nowMs;
  }

  /** The booking of a content that may be back; undefined if it has none. */
  bookingOf(contentId: string): Booking | undefined {
    return this.#byContent.get(contentId);
  }

  /** Time by which a request that arrives now is early; 0 if it is not. */
  earlyMs({ atMs }: Booking): number {
    const earlyMs = atMs - this.#options.clock.nowMs();
    return earlyMs > RETURN_TOLERANCE_MS ? earlyMs : 0;
  }

  /** Called when a request starts, so that its slot is free again. */
  release(contentId: string): void {
    const booking = this.#byContent.get(contentId);
    if (booking !== undefined) this.#remove(booking);
  }

  /**
   * First time that is a slot away from all bookings, after the requests that
   * wait. A less urgent rank leaves the slots free that the more urgent ranks
   * need at the rate at which they are offered.
   */
  #nextFreeMs(rank: number, startsPerMs: number): number {
    const { clock, rates, waitingUpTo, fleetWaitMs } = this.#options;
    const slotMs = 1 / startsPerMs;
    const urgentShare = rates.urgentOffersPerMs(rank) / startsPerMs;
    const stride = urgentShare >= 1
      ? MAX_STRIDE
      : Math.min(MAX_STRIDE, Math.round(1 / (1 - urgentShare)));
    const gapMs = (other: Booking): number =>
      other.rank >= rank ? stride * slotMs : slotMs;
    let atMs = clock.nowMs() +
      Math.max(
        MIN_RETURN_MS,
        waitingUpTo(rank) * slotMs,
        Math.min(MAX_RETURN_MS + slotMs, fleetWaitMs?.(rank) ?? 0),
      );
    // A later gap may be wider than one that was passed, hence the repetition.
    for (let hasMoved = true; hasMoved;) {
      hasMoved = false;
      for (const other of this.#bookings) {
        if (Math.abs(other.atMs - atMs) >= gapMs(other) - 0.001) continue;
        atMs = other.atMs + gapMs(other);
        hasMoved = true;
      }
    }
    return atMs;
  }

  #insert(booking: Booking): void {
    const index = this.#bookings.findIndex(({ atMs }) => atMs > booking.atMs);
    this.#bookings.splice(
      index < 0 ? this.#bookings.length : index,
      0,
      booking,
    );
    this.#byContent.set(booking.contentId, booking);
  }

  #remove(booking: Booking): void {
    this.#bookings = this.#bookings.filter((other) => other !== booking);
    this.#byContent.delete(booking.contentId);
  }

  #dropOverdue(nowMs: number): void {
    const keepFromMs = nowMs - KEEP_OVERDUE_MS;
    while (this.#bookings.length > 0 && this.#bookings[0].atMs < keepFromMs) {
      this.#byContent.delete(this.#bookings[0].contentId);
      this.#bookings.shift();
    }
  }
}

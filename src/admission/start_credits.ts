/**
 * Credits of one host to start requests of ranks that do not all start: the
 * share of the marginal rank, and the turns that keep the ranks behind from
 * starving.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";

/** More unused credits are dropped, as they would all be used at once later. */
const MAX_CREDITS = 3;

export interface StartCreditsOptions {
  readonly clock: Clock;
  readonly random: () => number;
}

export class StartCredits {
  readonly #clock: Clock;
  /** Begin at random, as most hosts have less than one request at a time. */
  #shares: number;
  #turns: number;
  #sharePerS = 0;
  #turnsPerS = 0;
  #accruedMs: number;

  constructor({ clock, random }: StartCreditsOptions) {
    this.#clock = clock;
    this.#shares = random();
    this.#turns = random();
    this.#accruedMs = clock.nowMs();
  }

  get hasShare(): boolean {
    this.#update();
    return this.#shares >= 1;
  }

  get hasTurn(): boolean {
    this.#update();
    return this.#turns >= 1;
  }

  /** A request of the marginal rank was offered. */
  addShare(share: number): void {
    this.#update();
    this.#shares = Math.min(MAX_CREDITS, this.#shares + share);
  }

  /** Uses a credit of the marginal rank if there is one. */
  useShare(): boolean {
    if (!this.hasShare) return false;
    this.#shares--;
    return true;
  }

  useTurn(): void {
    this.#update();
    this.#turns = Math.max(0, this.#turns - 1);
  }

  /** Sets the rates at which credits accrue from now on. */
  accrue(
    { sharePerS, turnsPerS }: {
      readonly sharePerS: number;
      readonly turnsPerS: number;
    },
  ): void {
    this.#update();
    this.#sharePerS = sharePerS;
    this.#turnsPerS = turnsPerS;
  }

  #update(): void {
    const nowMs = this.#clock.nowMs();
    const elapsedS = (nowMs - this.#accruedMs) / 1_000;
    this.#accruedMs = nowMs;
    const add = (credits: number, perS: number): number =>
      Math.min(MAX_CREDITS, credits + perS * elapsedS);
    this.#shares = add(this.#shares, this.#sharePerS);
    this.#turns = add(this.#turns, this.#turnsPerS);
  }
}

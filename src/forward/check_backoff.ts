/**
 * Tells how much longer than usual the streams of a host wait before they check
 * their paths. Under load events come late although all stages respond; checks
 * of every such path would add to that load.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";

/** Growth of the factor with each check that finds all stages well. */
const FRUITLESS_GROWTH = 1.2;
/** A check that finds a fault returns this part of the growth. */
const FINDING_REDUCTION = 0.5;
const MAX_FACTOR = 4;
/** Half-life of what the factor has above 1. */
const HALF_LIFE_MS = 10_000;

export class CheckBackoff {
  readonly #clock: Clock;
  #excess = 0;
  #atMs = 0;

  constructor({ clock }: { readonly clock: Clock }) {
    this.#clock = clock;
  }

  /** Factor on the gap after which an event is overdue; 1 without load. */
  get factor(): number {
    const ageMs = this.#clock.nowMs() - this.#atMs;
    return 1 + this.#excess * 0.5 ** (ageMs / HALF_LIFE_MS);
  }

  recordCheck(hasFoundFault: boolean): void {
    const { factor } = this;
    this.#excess = hasFoundFault
      ? (factor - 1) * FINDING_REDUCTION
      : Math.min(MAX_FACTOR, factor * FRUITLESS_GROWTH) - 1;
    this.#atMs = this.#clock.nowMs();
  }
}

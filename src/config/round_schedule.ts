/**
 * Decides when a host sends a round. The first host by rendezvous hashing
 * sends one a second; each later one lets a little more time pass without
 * word before it stands in, so that few do so at once. The time grows with the
 * logarithm of the place: a part of the fleet that is cut off has its own
 * first hosts, which then act one after the other.
 *
 * @module
 */

import { type Clock, systemClock } from "../common/clock.ts";
import { hash32 } from "../common/hash.ts";
import type { Random } from "../common/random.ts";

const ROUND_EVERY_MS = 1_000;
/** Added to a host's patience each time its place doubles. */
const PATIENCE_STEP_MS = 300;
/** A host this stale tries rounds of its own, however many it hears. */
const STALE_AFTER_MS = 2_000;
/** Time between such rounds of one host, for each host of the fleet. */
const STAND_IN_MS_A_HOST = 250;
/** A host that wakes this much too late was paused. */
const LATE_MS = 250;
const ROLE_KEY = "config-rounds";

/** Options of a schedule. */
export interface RoundScheduleOptions {
  readonly clock?: Clock;
  readonly random?: Random;
}

/** When one host's next round is due. */
export class RoundSchedule {
  readonly #clock: Clock;
  readonly #random: Random;
  #rank = 0;
  #hostCount = 1;
  /** The freshest word that any round has carried past this host. */
  #spreadAsOfMs: number;
  #lastOwnMs: number;
  #lastHeardMs: number;
  /** Drawn anew for each round, so that hosts that are stale do not act at once. */
  #jitter: number;
  #isWanted = false;
  #wake = new AbortController();

  constructor(options: RoundScheduleOptions = {}) {
    this.#clock = options.clock ?? systemClock;
    this.#random = options.random ?? Math.random;
    this.#jitter = this.#random();
    // A fleet that starts as a whole waits for its first hosts' word.
    const nowMs = this.#clock.nowMs();
    this.#spreadAsOfMs = this.#lastOwnMs = this.#lastHeardMs = nowMs;
  }

  /** This host's place for the roles that save work; 0 is the first. */
  get rank(): number {
    return this.#rank;
  }

  /** How long this host goes without word before it acts itself. */
  get patienceMs(): number {
    return ROUND_EVERY_MS + PATIENCE_STEP_MS * Math.log2(1 + this.#rank);
  }

  /** Takes the names of all hosts but this one. */
  setFleet(self: string, others: readonly string[]): void {
    const seed = hash32(ROLE_KEY);
    const own = hash32(self, seed);
    this.#hostCount = others.length + 1;
    this.#rank = others.filter((name) => {
      const score = hash32(name, seed);
      return score > own || (score === own && name < self);
    }).length;
  }

  /** Asks for a round at once. */
  request(): void {
    this.#isWanted = true;
    this.#wake.abort();
  }

  /** Looks again whether a round is due. */
  check(): void {
    this.#wake.abort();
  }

  /** Notes that a round of another host passed here. */
  noteHeard(): void {
    this.#lastHeardMs = this.#clock.nowMs();
  }

  /** Notes that this host sends a round. */
  noteOwn(): void {
    this.#isWanted = false;
    this.#jitter = this.#random();
    this.#lastOwnMs = this.#lastHeardMs = this.#clock.nowMs();
  }

  /** Notes how fresh a word a round carried. */
  noteSpread(asOfMs: number): void {
    this.#spreadAsOfMs = Math.max(this.#spreadAsOfMs, asOfMs);
  }

  /** Waits until a round is due for a host that is fresh as of `asOfMs()`. */
  async waitUntilDue(
    asOfMs: () => number,
    signal: AbortSignal,
  ): Promise<void> {
    const stop = () => this.#wake.abort();
    signal.addEventListener("abort", stop, { once: true });
    while (!signal.aborted) {
      const dueInMs = this.#dueInMs(asOfMs());
      if (dueInMs <= 0) break;
      this.#wake = new AbortController();
      const waitMs = Math.min(dueInMs, ROUND_EVERY_MS);
      const wakeAtMs = this.#clock.nowMs() + waitMs;
      await this.#clock.sleep(waitMs, this.#wake.signal);
      if (this.#clock.nowMs() - wakeAtMs > LATE_MS) this.#startAnew();
    }
    signal.removeEventListener("abort", stop);
  }

  /** After a pause of this host, the others' word may be waiting to be read. */
  #startAnew(): void {
    this.noteHeard();
    this.noteSpread(this.#clock.nowMs());
  }

  #dueInMs(asOfMs: number): number {
    if (this.#isWanted) return 0;
    const { patienceMs } = this;
    const knowsBetter = asOfMs - this.#spreadAsOfMs >= patienceMs;
    const standInMs = (0.5 + this.#jitter) * STAND_IN_MS_A_HOST *
      this.#hostCount;
    const dueAtMs = Math.min(
      knowsBetter ? -Infinity : this.#lastHeardMs + patienceMs,
      // Rounds come, but they prove nothing: this host may reach others.
      Math.max(asOfMs + STALE_AFTER_MS, this.#lastOwnMs + standInMs),
    );
    const earliestMs = this.#lastOwnMs + ROUND_EVERY_MS;
    return Math.max(dueAtMs, earliestMs) - this.#clock.nowMs();
  }
}

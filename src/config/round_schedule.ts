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

const ROUND_INTERVAL_MS = 1_000;
/** Added to a host's patience each time its place doubles. */
const TAKEOVER_TIMEOUT_STEP_MS = 300;
/** A host this stale tries rounds of its own, however many it hears. */
const STALE_AFTER_MS = 2_000;
/** Time between such rounds of one host, for each host of the fleet. */
const STALE_RETRY_MS_PER_HOST = 250;
/** A host that wakes this much too late was paused. */
const PAUSE_THRESHOLD_MS = 250;
const RANK_HASH_KEY = "config-rounds";

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
  #broadcastAsOfMs: number;
  #lastSentMs: number;
  #lastReceivedMs: number;
  /** Drawn anew for each round, so that hosts that are stale do not act at once. */
  #jitter: number;
  #isRequested = false;
  #wake = new AbortController();

  constructor(options: RoundScheduleOptions = {}) {
    this.#clock = options.clock ?? systemClock;
    this.#random = options.random ?? Math.random;
    this.#jitter = this.#random();
    // A fleet that starts as a whole waits for its first hosts' word.
    const nowMs = this.#clock.nowMs();
    this.#broadcastAsOfMs = this.#lastSentMs = this.#lastReceivedMs = nowMs;
  }

  /** This host's place for the roles that save work; 0 is the first. */
  get rank(): number {
    return this.#rank;
  }

  /** How long this host goes without word before it acts itself. */
  get takeoverTimeoutMs(): number {
    return ROUND_INTERVAL_MS +
      TAKEOVER_TIMEOUT_STEP_MS * Math.log2(1 + this.#rank);
  }

  /** Takes the names of all hosts but this one. */
  setHosts(self: string, others: readonly string[]): void {
    const seed = hash32(RANK_HASH_KEY);
    const own = hash32(self, seed);
    this.#hostCount = others.length + 1;
    this.#rank = others.filter((name) => {
      const score = hash32(name, seed);
      return score > own || (score === own && name < self);
    }).length;
  }

  /** Asks for a round at once. */
  request(): void {
    this.#isRequested = true;
    this.#wake.abort();
  }

  /** Looks again whether a round is due. */
  check(): void {
    this.#wake.abort();
  }

  /** Notes that a round of another host passed here. */
  recordReceived(): void {
    this.#lastReceivedMs = this.#clock.nowMs();
  }

  /** Notes that this host sends a round. */
  recordSent(): void {
    this.#isRequested = false;
    this.#jitter = this.#random();
    this.#lastSentMs = this.#lastReceivedMs = this.#clock.nowMs();
  }

  /** Notes how fresh a word a round carried. */
  recordBroadcast(asOfMs: number): void {
    this.#broadcastAsOfMs = Math.max(this.#broadcastAsOfMs, asOfMs);
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
      const waitMs = Math.min(dueInMs, ROUND_INTERVAL_MS);
      const wakeAtMs = this.#clock.nowMs() + waitMs;
      await this.#clock.sleep(waitMs, this.#wake.signal);
      if (this.#clock.nowMs() - wakeAtMs > PAUSE_THRESHOLD_MS) {
        this.#resetAfterPause();
      }
    }
    signal.removeEventListener("abort", stop);
  }

  /** After a pause of this host, the others' word may be waiting to be read. */
  #resetAfterPause(): void {
    this.recordReceived();
    this.recordBroadcast(this.#clock.nowMs());
  }

  #dueInMs(asOfMs: number): number {
    if (this.#isRequested) return 0;
    const { takeoverTimeoutMs: takeoverTimeoutMs } = this;
    const isFresherThanBroadcast =
      asOfMs - this.#broadcastAsOfMs >= takeoverTimeoutMs;
    const staleRetryMs = (0.5 + this.#jitter) * STALE_RETRY_MS_PER_HOST *
      this.#hostCount;
    const dueAtMs = Math.min(
      isFresherThanBroadcast
        ? -Infinity
        : this.#lastReceivedMs + takeoverTimeoutMs,
      // Rounds come, but they prove nothing: this host may reach others.
      Math.max(asOfMs + STALE_AFTER_MS, this.#lastSentMs + staleRetryMs),
    );
    const earliestMs = this.#lastSentMs + ROUND_INTERVAL_MS;
    return Math.max(dueAtMs, earliestMs) - this.#clock.nowMs();
  }
}

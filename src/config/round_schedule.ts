/**
 * Decides when a host sends a round. Rendezvous hashing ranks the hosts: the
 * first sends a round every second; each later one takes over after a longer
 * time without a round, so that few hosts do so at once. The timeout grows with
 * the logarithm of the rank, since each side of a partition has its own first
 * hosts, which then take over one after the other.
 *
 * @module
 */

import { type Clock, systemClock } from "../common/clock.ts";
import { hash32 } from "../common/hash.ts";
import type { Random } from "../common/random.ts";

const ROUND_INTERVAL_MS = 1_000;
/** Added to the takeover timeout each time the rank doubles. */
const TAKEOVER_TIMEOUT_STEP_MS = 300;
/** A host with a state of this age sends rounds, even if it receives some. */
const STALE_AFTER_MS = 2_000;
/** Mean time between such rounds of one host, per host of the fleet. */
const STALE_RETRY_MS_PER_HOST = 250;
/** A timer that fires this late shows that the process was paused. */
const PAUSE_THRESHOLD_MS = 250;
const RANK_HASH_KEY = "config-rounds";

export interface RoundScheduleOptions {
  readonly clock?: Clock;
  readonly random?: Random;
}

/** Schedules the rounds of one host. */
export class RoundSchedule {
  readonly #clock: Clock;
  readonly #random: Random;
  #rank = 0;
  #hostCount = 1;
  /** Latest freshness, as monotonic time, of the rounds sent or received here. */
  #broadcastAsOfMs: number;
  #lastSentMs: number;
  #lastReceivedMs: number;
  /** Drawn for each round, so that stale hosts do not send theirs at the same time. */
  #jitter: number;
  #isRequested = false;
  #wake = new AbortController();

  constructor(options: RoundScheduleOptions = {}) {
    this.#clock = options.clock ?? systemClock;
    this.#random = options.random ?? Math.random;
    this.#jitter = this.#random();
    // When all hosts start together, each waits for the first hosts' rounds.
    const nowMs = this.#clock.nowMs();
    this.#broadcastAsOfMs = this.#lastSentMs = this.#lastReceivedMs = nowMs;
  }

  /** This host's rank, which limits how many hosts send rounds or read the log; 0 is first. */
  get rank(): number {
    return this.#rank;
  }

  /** Time without a round after which this host sends one. */
  get takeoverTimeoutMs(): number {
    return ROUND_INTERVAL_MS +
      TAKEOVER_TIMEOUT_STEP_MS * Math.log2(1 + this.#rank);
  }

  /** Computes the rank from the names of all other hosts. */
  setHosts(self: string, others: readonly string[]): void {
    const seed = hash32(RANK_HASH_KEY);
    const own = hash32(self, seed);
    this.#hostCount = others.length + 1;
    this.#rank = others.filter((name) => {
      const score = hash32(name, seed);
      return score > own || (score === own && name < self);
    }).length;
  }

  /** Makes a round due at once. */
  request(): void {
    this.#isRequested = true;
    this.#wake.abort();
  }

  /** Makes {@link waitUntilDue} evaluate again whether a round is due. */
  check(): void {
    this.#wake.abort();
  }

  /** Records that a round of another host was received. */
  recordReceived(): void {
    this.#lastReceivedMs = this.#clock.nowMs();
  }

  /** Records that this host sends a round. */
  recordSent(): void {
    this.#isRequested = false;
    this.#jitter = this.#random();
    this.#lastSentMs = this.#lastReceivedMs = this.#clock.nowMs();
  }

  /** Records the freshness of a round that was sent or received. */
  recordBroadcast(asOfMs: number): void {
    this.#broadcastAsOfMs = Math.max(this.#broadcastAsOfMs, asOfMs);
  }

  /** Waits until a round is due for a host whose state is complete as of `asOfMs()`. */
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

  /** After a pause of the process, rounds of other hosts may not have been read yet. */
  #resetAfterPause(): void {
    this.recordReceived();
    this.recordBroadcast(this.#clock.nowMs());
  }

  #dueInMs(asOfMs: number): number {
    if (this.#isRequested) return 0;
    const { takeoverTimeoutMs } = this;
    const isFresherThanBroadcast =
      asOfMs - this.#broadcastAsOfMs >= takeoverTimeoutMs;
    const staleRetryMs = (0.5 + this.#jitter) * STALE_RETRY_MS_PER_HOST *
      this.#hostCount;
    const dueAtMs = Math.min(
      isFresherThanBroadcast
        ? -Infinity
        : this.#lastReceivedMs + takeoverTimeoutMs,
      // The rounds received don't refresh this host's state, but a round of its
      // own may reach other hosts.
      Math.max(asOfMs + STALE_AFTER_MS, this.#lastSentMs + staleRetryMs),
    );
    const earliestMs = this.#lastSentMs + ROUND_INTERVAL_MS;
    return Math.max(dueAtMs, earliestMs) - this.#clock.nowMs();
  }
}

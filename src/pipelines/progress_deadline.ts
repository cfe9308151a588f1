/**
 * How long the next token of a chain may take before the chain counts as
 * stalled. The deadline follows the gaps seen on the same chain: a chain that
 * is slow by nature gets more time, so that only a change is an alarm.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { systemClock } from "../common/clock.ts";
import { GapTail } from "./gap_tail.ts";

/** A phase of a generation: until its first token, or between tokens. */
export type Phase = "prefill" | "decode";

const MIN_DECODE_TIMEOUT_MS = 60;
const MIN_PREFILL_TIMEOUT_MS = 150;
const MAX_TIMEOUT_MS = 5_000;
/** Deadlines while nothing is known of a chain. */
const INITIAL_DECODE_TIMEOUT_MS = 400;
const INITIAL_PREFILL_TIMEOUT_MS = 2_000;
/** Gaps after which a chain's own history is trusted alone. */
const MIN_CHAIN_GAPS = 16;
/** Gaps after which what a target showed in any chain is trusted. */
const MIN_TARGET_GAPS = 6;
/** Room for a chain of which only others are known. */
const UNKNOWN_CHAIN_FACTOR = 1.5;
const MEAN_GAIN = 1 / 16;
/** A deadline is at least this many mean gaps. */
const MIN_TIMEOUT_RATIO = 2.5;
/** A stall is a gap of at least the deadline, so later deadlines grow by this. */
const STALL_FACTOR = 2;
const MAX_STALL_FACTOR = 32;
const STALL_HALF_LIFE_MS = 5_000;
const MAX_CHAINS = 2_048;

/** Moving mean of gaps. */
interface GapStatistics {
  count: number;
  meanMs: number;
}

interface StallRecord {
  factor: number;
  atMs: number;
}

/** Options of a `ProgressDeadline`. */
export interface ProgressDeadlineOptions {
  readonly clock?: Clock;
}

/** Statistics that one pick of a chain adds to, looked up once a pick. */
interface ChainHandle {
  lastProgressAtMs: number;
  readonly targets: readonly string[];
  readonly gaps: Readonly<Record<Phase, TrackedGaps>>;
}

interface TrackedGaps {
  readonly ofChain: GapStatistics;
  readonly ofTargets: readonly GapStatistics[];
  /** All chains of this host. */
  readonly ofAll: GapStatistics;
}

/** A chain, as far as this module looks at it. */
type Chain = readonly { readonly target: string }[];

/** Learns gaps and says when a chain is late. */
export class ProgressDeadline {
  readonly #clock: Clock;
  /** By phase and chain, the least recently picked first. */
  readonly #chains = new Map<string, GapStatistics>();
  readonly #targets = new Map<string, GapStatistics>();
  readonly #all = { prefill: newStatistics(), decode: newStatistics() };
  readonly #tails = { prefill: new GapTail(), decode: new GapTail() };
  readonly #stalls = new Map<string, StallRecord>();
  readonly #handles = new WeakMap<Chain, ChainHandle>();

  constructor(options: ProgressDeadlineOptions = {}) {
    this.#clock = options.clock ?? systemClock;
  }

  /** Time within which the next token of the chain is to arrive. */
  timeoutMs(chain: Chain, phase: Phase): number {
    const { gaps, targets } = this.#handle(chain);
    const normalMs = this.#normalMs(gaps[phase], phase);
    const minMs = phase === "decode"
      ? MIN_DECODE_TIMEOUT_MS
      : MIN_PREFILL_TIMEOUT_MS;
    let stallFactor = 1;
    for (const target of targets) {
      stallFactor = Math.max(stallFactor, this.#stallFactor(target));
    }
    return Math.min(MAX_TIMEOUT_MS, Math.max(minMs, normalMs) * stallFactor);
  }

  /** Notes that the chain was picked just now. */
  recordStart(chain: Chain): void {
    this.#handle(chain).lastProgressAtMs = this.#clock.nowMs();
  }

  /** Notes a gap that ended with a token. */
  recordGap(
    chain: Chain,
    observation: { readonly phase: Phase; readonly gapMs: number },
  ): void {
    const handle = this.#handle(chain);
    handle.lastProgressAtMs = this.#clock.nowMs();
    const { phase, gapMs } = observation;
    const { ofChain, ofTargets, ofAll } = handle.gaps[phase];
    if (ofChain.count > 0) this.#tails[phase].note(gapMs / ofChain.meanMs);
    addGap(ofChain, gapMs);
    addGap(ofAll, gapMs);
    for (const statistics of ofTargets) addGap(statistics, gapMs);
  }

  /** Time since the last token of the chain, or since it was picked. */
  sinceProgressMs(chain: Chain): number {
    return this.#clock.nowMs() - this.#handle(chain).lastProgressAtMs;
  }

  /** Notes that a chain was given up before its next token came. */
  recordTimeout(chain: Chain): void {
    const { ofChain } = this.#handle(chain).gaps.decode;
    if (ofChain.count < MIN_CHAIN_GAPS) return;
    this.#tails.decode.note(this.sinceProgressMs(chain) / ofChain.meanMs);
  }

  /** Notes that a chain through `target` did not progress in time. */
  recordStall(target: string): void {
    const factor = this.#stallFactor(target) * STALL_FACTOR;
    this.#stalls.set(target, {
      factor: Math.min(MAX_STALL_FACTOR, factor),
      atMs: this.#clock.nowMs(),
    });
  }

  /** Mean gap of a chain between tokens; undefined but for every 16th gap. */
  sampledMeanGapMs(chain: Chain): number | undefined {
    const { count, meanMs } = this.#handle(chain).gaps.decode.ofChain;
    return count > 0 && count % MIN_CHAIN_GAPS === 0 ? meanMs : undefined;
  }

  /** Forgets targets that are no longer configured. */
  retain(isKept: (target: string) => boolean): void {
    for (const key of [...this.#targets.keys()]) {
      if (!isKept(key.slice(key.indexOf(" ") + 1))) this.#targets.delete(key);
    }
    for (const target of [...this.#stalls.keys()]) {
      if (!isKept(target)) this.#stalls.delete(target);
    }
  }

  #normalMs(gaps: TrackedGaps, phase: Phase): number {
    const meanMs = meanGapMs(gaps);
    if (meanMs !== undefined) {
      return meanMs * Math.max(MIN_TIMEOUT_RATIO, this.#tails[phase].ratio);
    }
    return phase === "decode"
      ? INITIAL_DECODE_TIMEOUT_MS
      : INITIAL_PREFILL_TIMEOUT_MS;
  }

  #handle(chain: Chain): ChainHandle {
    let handle = this.#handles.get(chain);
    if (handle) return handle;
    const targets = chain.map(({ target }) => target);
    const gaps = {
      prefill: this.#track(targets, "prefill"),
      decode: this.#track(targets, "decode"),
    };
    handle = { lastProgressAtMs: this.#clock.nowMs(), targets, gaps };
    this.#handles.set(chain, handle);
    return handle;
  }

  #track(targets: readonly string[], phase: Phase): TrackedGaps {
    const key = `${phase} ${targets.join()}`;
    const ofChain = this.#chains.get(key) ?? newStatistics();
    this.#chains.delete(key);
    this.#chains.set(key, ofChain);
    if (this.#chains.size > MAX_CHAINS) {
      const [oldest] = this.#chains.keys();
      this.#chains.delete(oldest);
    }
    return {
      ofChain,
      ofAll: this.#all[phase],
      ofTargets: targets.map((target) => this.#ofTarget(target, phase)),
    };
  }

  #ofTarget(target: string, phase: Phase): GapStatistics {
    const key = `${phase} ${target}`;
    const statistics = this.#targets.get(key) ?? newStatistics();
    this.#targets.set(key, statistics);
    return statistics;
  }

  #stallFactor(target: string): number {
    const stall = this.#stalls.get(target);
    if (!stall) return 1;
    const ageMs = this.#clock.nowMs() - stall.atMs;
    return Math.max(1, stall.factor * 2 ** (-ageMs / STALL_HALF_LIFE_MS));
  }
}

/** Mean gap to expect of a chain; undefined while nothing is known at all. */
function meanGapMs(gaps: TrackedGaps): number | undefined {
  const { ofChain, ofTargets, ofAll } = gaps;
  if (ofChain.count >= MIN_CHAIN_GAPS) return ofChain.meanMs;
  let meanMs = 0;
  for (const statistics of ofTargets) {
    if (statistics.count < MIN_TARGET_GAPS) continue;
    meanMs = Math.max(meanMs, statistics.meanMs);
  }
  if (meanMs > 0) return meanMs;
  return ofAll.count >= MIN_CHAIN_GAPS
    ? UNKNOWN_CHAIN_FACTOR * ofAll.meanMs
    : undefined;
}

function newStatistics(): GapStatistics {
  return { count: 0, meanMs: 0 };
}

function addGap(statistics: GapStatistics, gapMs: number): void {
  statistics.count++;
  const gain = Math.max(MEAN_GAIN, 1 / statistics.count);
  statistics.meanMs += (gapMs - statistics.meanMs) * gain;
}

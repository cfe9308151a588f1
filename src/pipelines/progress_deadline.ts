/**
 * Computes how long the next token of a chain may take before the chain counts
 * as stalled. The deadline adapts to the gaps observed on the chain, so that only
 * a change in speed is reported, not a chain that is always slow.
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
/** Deadlines until gaps have been observed. */
const INITIAL_DECODE_TIMEOUT_MS = 400;
const INITIAL_PREFILL_TIMEOUT_MS = 2_000;
/** Gaps from which only the chain's own statistics are used. */
const MIN_CHAIN_GAPS = 16;
/** Gaps from which a target's statistics over all chains are used. */
const MIN_TARGET_GAPS = 6;
/** Headroom for a chain that is estimated from unrelated chains. */
const UNKNOWN_CHAIN_FACTOR = 1.5;
const MEAN_GAIN = 1 / 16;
/** Minimum deadline, in mean gaps. */
const MIN_TIMEOUT_RATIO = 2.5;
/** Growth of the deadline per stall, since the gap was at least as long as the deadline. */
const STALL_FACTOR = 2;
const MAX_STALL_FACTOR = 32;
const STALL_HALF_LIFE_MS = 5_000;
const MAX_CHAINS = 2_048;

/** Exponential moving mean of gaps. */
interface GapStatistics {
  count: number;
  meanMs: number;
}

interface StallRecord {
  factor: number;
  atMs: number;
}

export interface ProgressDeadlineOptions {
  readonly clock?: Clock;
}

/** Statistics that one pick of a chain updates, looked up once per pick. */
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

type Chain = readonly { readonly target: string }[];

/** Adaptive deadlines for the next token of chains. */
export class ProgressDeadline {
  readonly #clock: Clock;
  /** By phase and chain, least recently picked first. */
  readonly #chains = new Map<string, GapStatistics>();
  readonly #targets = new Map<string, GapStatistics>();
  readonly #all = { prefill: newStatistics(), decode: newStatistics() };
  readonly #tails = { prefill: new GapTail(), decode: new GapTail() };
  readonly #stalls = new Map<string, StallRecord>();
  readonly #handles = new WeakMap<Chain, ChainHandle>();

  constructor(options: ProgressDeadlineOptions = {}) {
    this.#clock = options.clock ?? systemClock;
  }

  /** Time within which the next token of the chain must arrive. */
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

  /** Records that the chain has just been picked. */
  recordStart(chain: Chain): void {
    this.#handle(chain).lastProgressAtMs = this.#clock.nowMs();
  }

  /** Records the time between two tokens, or to the first one. */
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

  /** Time since the last token of the chain, or since the pick if there was none. */
  sinceProgressMs(chain: Chain): number {
    return this.#clock.nowMs() - this.#handle(chain).lastProgressAtMs;
  }

  /** Records that a chain was abandoned before its next token arrived. */
  recordTimeout(chain: Chain): void {
    const { ofChain } = this.#handle(chain).gaps.decode;
    if (ofChain.count < MIN_CHAIN_GAPS) return;
    this.#tails.decode.note(this.sinceProgressMs(chain) / ofChain.meanMs);
  }

  /** Records that a chain with `target` did not progress in time. */
  recordStall(target: string): void {
    const factor = this.#stallFactor(target) * STALL_FACTOR;
    this.#stalls.set(target, {
      factor: Math.min(MAX_STALL_FACTOR, factor),
      atMs: this.#clock.nowMs(),
    });
  }

  /** Mean decode gap of a chain, only after every `MIN_CHAIN_GAPS` gaps; else undefined. */
  sampledMeanGapMs(chain: Chain): number | undefined {
    const { count, meanMs } = this.#handle(chain).gaps.decode.ofChain;
    return count > 0 && count % MIN_CHAIN_GAPS === 0 ? meanMs : undefined;
  }

  /** Removes targets that are no longer configured. */
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

/** Expected mean gap of a chain; undefined until enough gaps have been observed. */
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

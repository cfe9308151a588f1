/**
 * When a host probes a target that does not respond. A few hosts, which every
 * host selects alike, probe it at short intervals. The others leave it to them:
 * they probe seldom, and at once when most of the selected hosts no longer
 * report the target as unresponsive.
 *
 * @module
 */

import { rendezvousRank } from "../common/hash.ts";

/** Hosts that probe a target at the short interval. */
const PROBERS = 3;
/**
 * In fleets up to this size every host probes: the probes of all are few, and a
 * host waits for nobody's word before it uses a target again.
 */
const MAX_PROBING_FLEET = 12;
const PROBER_INTERVAL_MS = 500;
const MAX_INTERVAL_MS = 4_000;
/**
 * Probes per second of one target by all hosts that are not selected. With 6 of
 * the selected ones and 2.5 of the leader's placement, the sum stays below 12.
 */
const OTHERS_PER_S = 3;
/**
 * Time in which the selected hosts find a target unresponsive and all others
 * learn it: a report query times out after 400 ms, digests take about 150 ms.
 */
const GRACE_MS = 800;
/** A single one may be cut off, or the only one that reaches the target. */
const MIN_REPORTERS = 2;

export interface ProbeScheduleOptions {
  readonly targetId: string;
  readonly hostId: string;
  /** Only other hosts found the target unresponsive. */
  readonly isDoubted: boolean;
  /** The target responded to this host while they did. */
  readonly hasResponded: boolean;
  readonly nowMs: number;
}

/** What is known of the fleet at the moment. */
export interface ProbeView {
  readonly nowMs: number;
  /** All live hosts, this one included, ranked for the target. */
  readonly ranked: readonly string[];
  /** Whether another host reports the target as unresponsive. */
  readonly isReportedBy: (hostId: string) => boolean;
}

/**
 * - `probing`: this host is one of the selected.
 * - `waiting`: whether they report the target is not known yet.
 * - `reported`: they do.
 * - `disputed`: they do not, so they may reach it.
 */
type Phase = "probing" | "waiting" | "reported" | "disputed";

/** The schedule of one host for one target. */
export class ProbeSchedule {
  readonly #options: ProbeScheduleOptions;
  #phase: Phase | undefined;
  #selected = "";
  #phaseMs: number;
  #nextMs: number;
  #probeCount = 0;

  constructor(options: ProbeScheduleOptions) {
    this.#options = options;
    this.#phaseMs = options.nowMs;
    this.#nextMs = options.nowMs;
  }

  /** Whether a probe is due; the next one is then due an interval later. */
  takeDue(view: ProbeView): boolean {
    this.#update(view);
    if (this.#phase === "waiting" || view.nowMs < this.#nextMs) return false;
    this.#nextMs = view.nowMs + this.#intervalMs(view.ranked.length);
    this.#probeCount++;
    return true;
  }

  get isSelected(): boolean {
    return this.#phase === "probing";
  }

  #update(view: ProbeView): void {
    const { nowMs, ranked, isReportedBy } = view;
    const selected = ranked.length <= MAX_PROBING_FLEET
      ? ranked
      : ranked.slice(0, PROBERS);
    const isReported = selected.filter(isReportedBy).length >= MIN_REPORTERS;
    const hasChanged = this.#selected !== selected.join();
    this.#selected = selected.join();
    if (selected.includes(this.#options.hostId)) {
      this.#enter("probing", view);
    } else if (isReported) {
      this.#enter("reported", view);
    } else if (this.#phase === "reported" && !hasChanged) {
      this.#enter("disputed", view);
    } else if (this.#phase === "waiting" && !hasChanged) {
      const isOver = nowMs - this.#phaseMs >= GRACE_MS;
      if (isOver) this.#enter("disputed", view);
    } else if (this.#phase !== "disputed") {
      this.#phase = undefined;
      this.#enter(this.#options.hasResponded ? "disputed" : "waiting", view);
    }
  }

  #enter(phase: Phase, { nowMs, ranked }: ProbeView): void {
    if (this.#phase === phase) return;
    const isFirst = this.#phase === undefined;
    this.#phase = phase;
    this.#phaseMs = nowMs;
    this.#probeCount = 0;
    if (phase === "reported") {
      // The others take turns from the start, in the order of their ranks.
      const position = ranked.indexOf(this.#options.hostId) - PROBERS + 1;
      const share = position / Math.max(1, ranked.length - PROBERS);
      this.#nextMs = nowMs + share * this.#intervalMs(ranked.length);
    } else if (phase === "probing" && isFirst && !this.#options.isDoubted) {
      this.#nextMs = nowMs + PROBER_INTERVAL_MS;
    } else {
      this.#nextMs = nowMs;
    }
  }

  #intervalMs(hostCount: number): number {
    if (this.#phase === "probing") return PROBER_INTERVAL_MS;
    const doubledMs = Math.min(
      MAX_INTERVAL_MS,
      PROBER_INTERVAL_MS * 2 ** this.#probeCount,
    );
    if (this.#phase === "disputed") return doubledMs;
    const others = hostCount - PROBERS;
    return Math.max(doubledMs, others / OTHERS_PER_S * 1_000);
  }
}

/** Ranks the live hosts for each target, anew only if the hosts change. */
export class ProberRanking {
  #hosts = "";
  readonly #ranked = new Map<string, readonly string[]>();

  of(targetId: string, hosts: readonly string[]): readonly string[] {
    const joined = hosts.join();
    if (joined !== this.#hosts) this.#ranked.clear();
    this.#hosts = joined;
    let ranked = this.#ranked.get(targetId);
    if (ranked === undefined) {
      ranked = rendezvousRank(targetId, hosts);
      this.#ranked.set(targetId, ranked);
    }
    return ranked;
  }
}

/**
 * How loaded and how healthy the parts of chains look from this host. A part
 * is a target or a link between failure domains. Known are this host's own
 * streams, the engines' lagging reports, and failures, which fade.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { systemClock } from "../common/clock.ts";
import type { EngineLoad } from "../clients/types.ts";

/** A report older than this tells nothing. */
const MAX_REPORT_AGE_MS = 10_000;
const FAILURE_HALF_LIFE_MS = 5_000;
/** Share of a part's failures that one token of progress makes good. */
const FAILURE_RELIEF_PER_TOKEN = 0.02;
const MAX_FAILURES = 32;
const MIN_DURATION_GAIN = 1 / 32;
const REPORT_INTERVAL_GAIN = 1 / 16;
const INITIAL_REPORT_INTERVAL_MS = 1_000;
/** Time over which a stream sent counts as work sent of late. */
const RECENT_DECAY_MS = 300;
const MIN_BALANCE_FACTOR = 0.1;
const MAX_BALANCE_FACTOR = 2;

interface LoadEntry {
  inFlight: number;
  reported: number;
  /** Streams of this host when the report was read. */
  inFlightAtReport: number;
  reportedAtWallMs: number;
  failures: number;
  failedAtMs: number;
  /** Streams sent of late, as of `recentAtMs`. */
  recent: number;
  recentAtMs: number;
}

/** Options of a `TargetLoad`. */
export interface TargetLoadOptions {
  readonly clock?: Clock;
}

/** Streams and health of the parts of chains. */
export class TargetLoad {
  readonly #clock: Clock;
  readonly #entries = new Map<string, LoadEntry>();
  #durationMs = 0;
  #durationCount = 0;
  #reportIntervalMs = INITIAL_REPORT_INTERVAL_MS;
  #reportedSum = 0;
  #inFlightAtReportSum = 0;

  constructor(options: TargetLoadOptions = {}) {
    this.#clock = options.clock ?? systemClock;
  }

  addInFlight(component: string, change: number): void {
    const entry = this.#entry(component);
    entry.inFlight = Math.max(0, entry.inFlight + change);
    if (change <= 0) return;
    entry.recent = this.#recent(entry) + change;
    entry.recentAtMs = this.#clock.nowMs();
  }

  /** This host's streams at a part, and those sent there of late. */
  ownLoad(component: string): number {
    const entry = this.#entries.get(component);
    return entry ? entry.inFlight + this.#recent(entry) : 0;
  }

  inFlight(component: string): number {
    return this.#entries.get(component)?.inFlight ?? 0;
  }

  /** Notes how long a stream of this host held its chain. */
  recordDuration(durationMs: number): void {
    const gain = Math.max(MIN_DURATION_GAIN, 1 / ++this.#durationCount);
    this.#durationMs += (durationMs - this.#durationMs) * gain;
  }

  recordReport(target: string, load: EngineLoad): void {
    const entry = this.#entry(target);
    const intervalMs = load.asOfWallMs - entry.reportedAtWallMs;
    if (intervalMs <= 0) return;
    if (entry.reportedAtWallMs > 0 && intervalMs < MAX_REPORT_AGE_MS) {
      this.#reportIntervalMs += (intervalMs - this.#reportIntervalMs) *
        REPORT_INTERVAL_GAIN;
    }
    const reported = load.running + load.queued;
    this.#reportedSum += reported - entry.reported;
    this.#inFlightAtReportSum += entry.inFlight - entry.inFlightAtReport;
    entry.reported = reported;
    entry.inFlightAtReport = entry.inFlight;
    entry.reportedAtWallMs = load.asOfWallMs;
  }

  /** Streams of the whole fleet for each stream of this host, at least 1. */
  fleetScale(): number {
    if (this.#inFlightAtReportSum <= 0) return 1;
    return Math.max(1, this.#reportedSum / this.#inFlightAtReportSum);
  }

  /** Streams at a target: as reported, and this host's changes since. */
  estimatedStreams(target: string): number {
    const entry = this.#entries.get(target);
    if (!entry) return 0;
    if (!this.#hasReport(entry)) return entry.inFlight;
    const changed = entry.inFlight - entry.inFlightAtReport;
    const estimate = entry.reported + changed * this.fleetScale();
    return Math.max(entry.inFlight, estimate);
  }

  /**
   * Factors by which to change the weights of targets so that the reported
   * streams even out until the next report. All hosts act on the same reports
   * meanwhile, so a target gets at most what would level it within that time:
   * where streams are short beside the reports' interval, nearly nothing.
   */
  balanceFactors(
    targets: readonly { readonly target: string; readonly weight: number }[],
  ): number[] {
    let reportedSum = 0;
    let weightSum = 0;
    for (const { target, weight } of targets) {
      const entry = this.#entries.get(target);
      if (!entry || !this.#hasReport(entry)) continue;
      reportedSum += entry.reported;
      weightSum += weight;
    }
    const turnover = this.#durationMs / this.#reportIntervalMs;
    return targets.map(({ target, weight }) => {
      const entry = this.#entries.get(target);
      if (!entry || !this.#hasReport(entry) || reportedSum === 0) return 1;
      const even = weight * reportedSum / weightSum;
      const factor = 1 + (1 - entry.reported / even) * turnover;
      return Math.min(MAX_BALANCE_FACTOR, Math.max(MIN_BALANCE_FACTOR, factor));
    });
  }

  recordFailure(component: string): void {
    const entry = this.#entry(component);
    entry.failures = Math.min(MAX_FAILURES, this.failures(component) + 1);
    entry.failedAtMs = this.#clock.nowMs();
  }

  recordProgress(component: string): void {
    const entry = this.#entries.get(component);
    if (entry && entry.failures > 0) {
      entry.failures *= 1 - FAILURE_RELIEF_PER_TOKEN;
    }
  }

  /** True when a failure of the part was noted at or after `sinceMs`. */
  failedSince(component: string, sinceMs: number): boolean {
    const entry = this.#entries.get(component);
    return entry !== undefined && entry.failures > 0 &&
      entry.failedAtMs >= sinceMs;
  }

  /** Failures of late, each fading by half every few seconds. */
  failures(component: string): number {
    const entry = this.#entries.get(component);
    if (!entry || entry.failures === 0) return 0;
    const ageMs = this.#clock.nowMs() - entry.failedAtMs;
    return entry.failures * 2 ** (-ageMs / FAILURE_HALF_LIFE_MS);
  }

  /** Factor for the weight of a part, 1 for a healthy one. */
  healthFactor(component: string): number {
    return 1 / (1 + this.failures(component)) ** 2;
  }

  /** Forgets idle parts that are no longer configured. */
  retain(isKept: (component: string) => boolean): void {
    for (const [part, entry] of [...this.#entries]) {
      if (entry.inFlight > 0 || isKept(part)) continue;
      this.#reportedSum -= entry.reported;
      this.#inFlightAtReportSum -= entry.inFlightAtReport;
      this.#entries.delete(part);
    }
  }

  #recent(entry: LoadEntry): number {
    const ageMs = this.#clock.nowMs() - entry.recentAtMs;
    return entry.recent * Math.exp(-ageMs / RECENT_DECAY_MS);
  }

  #hasReport(entry: LoadEntry): boolean {
    const ageMs = this.#clock.wallMs() - entry.reportedAtWallMs;
    return ageMs <= MAX_REPORT_AGE_MS;
  }

  #entry(component: string): LoadEntry {
    let entry = this.#entries.get(component);
    if (!entry) {
      entry = {
        inFlight: 0,
        reported: 0,
        inFlightAtReport: 0,
        reportedAtWallMs: 0,
        failures: 0,
        failedAtMs: 0,
        recent: 0,
        recentAtMs: 0,
      };
      this.#entries.set(component, entry);
    }
    return entry;
  }
}

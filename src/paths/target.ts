/**
 * The state of one target as this host knows it.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { Backlog } from "./backlog.ts";
import type { Span, TargetRecord, TargetReport } from "../ports/types.ts";

/** Number of other hosts that must suspect a target before it counts as unresponsive. */
const MIN_SUSPECTING_HOSTS = 2;
/** How long a report outweighs the suspicions of other hosts. */
const REPORT_VOUCHES_MS = 1_000;
/** The same for the progress of a stream, which may date from before a fault. */
const ACTIVITY_VOUCHES_MS = 150;
/** Weight of the newest outcome in the failure rate. */
const NEWEST_OUTCOME_WEIGHT = 0.25;
/** Half-life of the failure rate while no requests go to the target. */
const FAILURE_HALF_LIFE_MS = 2_500;
/** Weight of the newest duration in its average. */
const NEWEST_DURATION_WEIGHT = 0.2;

/** Time constant of the mean prefill work of the other hosts. */
const PEER_PREFILL_MEAN_MS = 2_700;

/** Load that requests of this host or of the other hosts place on a target. */
export interface TargetLoad {
  streams: number;
  /** Memory reserved for requests, in tokens x layers. */
  tokenLayers: number;
  /**
   * Prefill work that was sent and whose first event has not arrived, in tokens
   * x layers. Undefined if hosts of earlier versions do not report it.
   */
  prefillTokenLayers?: number;
}

export interface TargetOptions {
  readonly record: TargetRecord;
  readonly clock: Clock;
}

/** A target's record, load and health. */
export class Target {
  record: TargetRecord;
  /** The span of the newest record or report. */
  span: Span | undefined;
  report: TargetReport | undefined;
  reportedMs = -Infinity;
  /** When a stream over the target last made progress. */
  activeMs = -Infinity;
  /** Load of this host's own requests in progress. */
  readonly ownLoad: Required<TargetLoad> = {
    streams: 0,
    tokenLayers: 0,
    prefillTokenLayers: 0,
  };
  /** When this host itself found the target unresponsive. */
  noResponseSinceMs: number | undefined;
  /** New work is withheld until then, because a refused request named this target. */
  avoidUntilMs = -Infinity;
  /** Expiry of each other host's suspicion; hosts renew it while it lasts. */
  readonly #suspectedUntilMs = new Map<string, number>();
  #suspectedSinceMs = -Infinity;
  /** Prefill work that is outstanding on the target. */
  readonly prefillBacklog: Backlog;
  /** Slowdown relative to the target's kind; 1 is nominal. */
  slowness = 1;
  isRemoved = false;
  /** Whether the process has said that it leaves, also if its record does not. */
  isLeaving = false;
  /** Whether the record of a later process names the same address. */
  isReplaced = false;
  readonly #clock: Clock;
  #peerLoad: TargetLoad = { streams: 0, tokenLayers: 0 };
  #peerLoadMs = -Infinity;
  #meanPeerPrefill = 0;
  #failureRate = 0;
  #failureAtMs = -Infinity;
  #meanDurationMs = 0;

  constructor(options: TargetOptions) {
    this.record = options.record;
    this.span = options.record.span;
    this.#clock = options.clock;
    this.prefillBacklog = new Backlog(options.clock);
  }

  get id(): string {
    return this.record.id;
  }

  /** Load of the other hosts, summed over their last updates. */
  get peerLoad(): TargetLoad {
    return this.#peerLoad;
  }

  set peerLoad(load: TargetLoad) {
    const nowMs = this.#clock.nowMs();
    const weight = 1 -
      Math.exp((this.#peerLoadMs - nowMs) / PEER_PREFILL_MEAN_MS);
    this.#meanPeerPrefill += weight *
      ((load.prefillTokenLayers ?? 0) - this.#meanPeerPrefill);
    this.#peerLoad = load;
    this.#peerLoadMs = nowMs;
  }

  /** Mean prefill work of the other hosts over the last seconds, in tokens x layers. */
  get meanPeerPrefill(): number {
    return this.#meanPeerPrefill;
  }

  /** Whether the target's state permits new work. */
  get isReady(): boolean {
    return !this.isRemoved && !this.isLeaving && !this.isReplaced &&
      this.record.state === "ready";
  }

  /** Whether the target responds, as far as this host and the others know. */
  get isResponsive(): boolean {
    return this.noResponseSinceMs === undefined && !this.isDoubted;
  }

  /** Whether other hosts suspect the target, and this host cannot tell. */
  get isDoubted(): boolean {
    return this.noResponseSinceMs === undefined && this.#isSuspectedByPeers &&
      !this.#isVouched;
  }

  /** Records that another host suspects the target, until `untilMs`. */
  addSuspicion(host: string, untilMs: number): void {
    if (!this.isSuspect) this.#suspectedSinceMs = this.#clock.nowMs();
    this.#suspectedUntilMs.set(host, untilMs);
  }

  /** Whether any other host suspects the target. */
  get isSuspect(): boolean {
    return this.#suspicionCount > 0;
  }

  /**
   * A single host may be wrong because of its own link, so one suspicion is not
   * enough.
   */
  get #isSuspectedByPeers(): boolean {
    return this.#suspicionCount >= MIN_SUSPECTING_HOSTS;
  }

  /**
   * Whether the target has responded to this host since it is suspected: the
   * links of other hosts may be at fault.
   */
  get #isVouched(): boolean {
    const isRecent = (atMs: number, forMs: number): boolean =>
      atMs > this.#suspectedSinceMs && this.#clock.nowMs() - atMs < forMs;
    return isRecent(this.reportedMs, REPORT_VOUCHES_MS) ||
      isRecent(this.activeMs, ACTIVITY_VOUCHES_MS);
  }

  get #suspicionCount(): number {
    const nowMs = this.#clock.nowMs();
    for (const [host, untilMs] of this.#suspectedUntilMs) {
      if (untilMs <= nowMs) this.#suspectedUntilMs.delete(host);
    }
    return this.#suspectedUntilMs.size;
  }

  /** Whether the target responds and is not being avoided. */
  get isAvailable(): boolean {
    return this.isResponsive && this.#clock.nowMs() >= this.avoidUntilMs;
  }

  /** Share of recent requests that failed, from 0 to 1. */
  get failureRate(): number {
    const ageMs = this.#clock.nowMs() - this.#failureAtMs;
    return this.#failureRate * 0.5 ** (ageMs / FAILURE_HALF_LIFE_MS);
  }

  /** Mean duration of recent successful requests; 0 before the first. */
  get meanDurationMs(): number {
    return this.#meanDurationMs;
  }

  /** Returns true if a change concerns listeners. */
  update(record: TargetRecord): boolean {
    const old = this.record;
    this.record = record;
    if (record.bornMs !== old.bornMs) this.#restart(record);
    const isSameSpan = record.span?.from === old.span?.from &&
      record.span?.to === old.span?.to;
    if (!isSameSpan) this.span = record.span;
    return !isSameSpan || record.state !== old.state ||
      record.address !== old.address ||
      record.bornMs !== old.bornMs || record.service !== old.service;
  }

  /** The caller must drop reports of an earlier process. */
  applyReport(report: TargetReport): void {
    this.report = report;
    this.reportedMs = this.#clock.nowMs();
    this.span = report.span;
    this.slowness = report.slowness;
    this.noResponseSinceMs = undefined;
  }

  /** Records that a stream over the target made progress. */
  recordActivity(nowMs: number): void {
    this.activeMs = nowMs;
  }

  recordOutcome(isSuccess: boolean, durationMs: number): void {
    const rate = this.failureRate;
    this.#failureRate = rate +
      ((isSuccess ? 0 : 1) - rate) * NEWEST_OUTCOME_WEIGHT;
    this.#failureAtMs = this.#clock.nowMs();
    if (!isSuccess) return;
    this.#meanDurationMs = this.#meanDurationMs === 0
      ? durationMs
      : this.#meanDurationMs +
        (durationMs - this.#meanDurationMs) * NEWEST_DURATION_WEIGHT;
  }

  markUnresponsive(): void {
    this.noResponseSinceMs ??= this.#clock.nowMs();
  }

  #restart(record: TargetRecord): void {
    this.span = record.span;
    this.report = undefined;
    this.noResponseSinceMs = undefined;
    this.isLeaving = false;
    this.#failureRate = 0;
  }
}

/**
 * One target as this host sees it.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { Backlog } from "./backlog.ts";
import type { Span, TargetRecord, TargetReport } from "../ports/types.ts";

/** Hosts whose word is taken that a target does not answer. */
const MIN_SUSPECTING_HOSTS = 2;
/** Weight of the newest outcome in the share of failures. */
const NEWEST_OUTCOME_WEIGHT = 0.25;
/** Half-life of the share of failures while no requests go to the target. */
const FAILURE_HALF_LIFE_MS = 2_500;
/** Weight of the newest duration in its average. */
const NEWEST_DURATION_WEIGHT = 0.2;

/** Load that other hosts put on a target, or this one does. */
export interface TargetLoad {
  streams: number;
  /** Tokens x layers that requests will need. */
  tokenLayers: number;
}

/** Options of a target. */
export interface TargetOptions {
  readonly record: TargetRecord;
  readonly clock: Clock;
}

/** A target's record, load and standing. */
export class Target {
  record: TargetRecord;
  /** The newest of what the record, a report or an accepted order told. */
  span: Span | undefined;
  report: TargetReport | undefined;
  reportedMs = -Infinity;
  /** This host's own requests in progress. */
  readonly ownLoad: TargetLoad = { streams: 0, tokenLayers: 0 };
  /** The sum over the other hosts, as they last told. */
  peerLoad: TargetLoad = { streams: 0, tokenLayers: 0 };
  /** Since when the target has not answered, by this host's own evidence. */
  noResponseSinceMs: number | undefined;
  /** A refused request named it: it gets no new work until then. */
  avoidUntilMs = -Infinity;
  /** Hosts that say it does not answer, until when that counts; told again while it is so. */
  readonly #suspectedUntilMs = new Map<string, number>();
  /** Time until the contexts are read that this host sent there. */
  readonly prefillBacklog: Backlog;
  /** Over 1: slower than its kind. */
  slowness = 1;
  isRemoved = false;
  readonly #clock: Clock;
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

  /** Whether new work may go to it at all. */
  get isReady(): boolean {
    return !this.isRemoved && this.record.state === "ready";
  }

  /** Whether it answers, as far as this host and the others know. */
  get isResponsive(): boolean {
    return this.noResponseSinceMs === undefined && !this.#isSuspectedByPeers;
  }

  /** Another host says, until `untilMs`, that it does not answer. */
  addSuspicion(host: string, untilMs: number): void {
    this.#suspectedUntilMs.set(host, untilMs);
  }

  /** Whether any other host says that it does not answer. */
  get isSuspect(): boolean {
    return this.#suspicionCount > 0;
  }

  /** One host may be wrong, by its own link; it counts only together with another. */
  get #isSuspectedByPeers(): boolean {
    return this.#suspicionCount >= MIN_SUSPECTING_HOSTS;
  }

  get #suspicionCount(): number {
    const nowMs = this.#clock.nowMs();
    for (const [host, untilMs] of this.#suspectedUntilMs) {
      if (untilMs <= nowMs) this.#suspectedUntilMs.delete(host);
    }
    return this.#suspectedUntilMs.size;
  }

  /** Whether new work should go to it. */
  get isAvailable(): boolean {
    return this.isResponsive && this.#clock.nowMs() >= this.avoidUntilMs;
  }

  /** Recent share of failed requests, 0 to 1. */
  get failureRate(): number {
    const ageMs = this.#clock.nowMs() - this.#failureAtMs;
    return this.#failureRate * 0.5 ** (ageMs / FAILURE_HALF_LIFE_MS);
  }

  /** Mean duration of recent requests, 0 before the first. */
  get meanDurationMs(): number {
    return this.#meanDurationMs;
  }

  /** True where something that others care about changed. */
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

  /** Takes a report; an older process's report is the caller's to drop. */
  applyReport(report: TargetReport): void {
    this.report = report;
    this.reportedMs = this.#clock.nowMs();
    this.span = report.span;
    this.slowness = report.slowness;
    this.noResponseSinceMs = undefined;
  }

  recordOutcome(isGood: boolean, durationMs: number): void {
    const share = this.failureRate;
    this.#failureRate = share +
      ((isGood ? 0 : 1) - share) * NEWEST_OUTCOME_WEIGHT;
    this.#failureAtMs = this.#clock.nowMs();
    if (!isGood) return;
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
    this.#failureRate = 0;
  }
}

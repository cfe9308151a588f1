/**
 * One target as this host sees it.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { Backlog } from "./backlog.ts";
import type { Span, TargetRecord, TargetReport } from "../ports/types.ts";

/** Hosts whose word is taken that a target does not answer. */
const DOUBTING_HOSTS = 2;
/** Weight of the newest outcome in the share of failures. */
const FAILURE_WEIGHT = 0.25;
/** Half-life of the share of failures while no requests go to the target. */
const FAILURE_HALF_LIFE_MS = 2_500;
/** Weight of the newest duration in its average. */
const DURATION_WEIGHT = 0.2;

/** Load that other hosts put on a target, or this one does. */
export interface TargetUse {
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
  readonly ownUse: TargetUse = { streams: 0, tokenLayers: 0 };
  /** The sum over the other hosts, as they last told. */
  peerUse: TargetUse = { streams: 0, tokenLayers: 0 };
  /** Since when the target has not answered, by this host's own evidence. */
  silentSinceMs: number | undefined;
  /** A refused request named it: it gets no new work until then. */
  avoidUntilMs = -Infinity;
  /** Hosts that say it does not answer, until when that counts; told again while it is so. */
  readonly #doubts = new Map<string, number>();
  /** Time until the contexts are read that this host sent there. */
  readonly reading: Backlog;
  /** Over 1: slower than its kind. */
  slowness = 1;
  isGone = false;
  readonly #clock: Clock;
  #failureShare = 0;
  #failureAtMs = -Infinity;
  #meanMs = 0;

  constructor(options: TargetOptions) {
    this.record = options.record;
    this.span = options.record.span;
    this.#clock = options.clock;
    this.reading = new Backlog(options.clock);
  }

  get id(): string {
    return this.record.id;
  }

  /** Whether new work may go to it at all. */
  get isOpen(): boolean {
    return !this.isGone && this.record.state === "ready";
  }

  /** Whether it answers, as far as this host and the others know. */
  get isAnswering(): boolean {
    return this.silentSinceMs === undefined && !this.#isDoubted;
  }

  /** Another host says, until `untilMs`, that it does not answer. */
  doubt(host: string, untilMs: number): void {
    this.#doubts.set(host, untilMs);
  }

  /** Whether any other host says that it does not answer. */
  get isSuspect(): boolean {
    return this.#doubtCount > 0;
  }

  /** One host may be wrong, by its own link; it counts only together with another. */
  get #isDoubted(): boolean {
    return this.#doubtCount >= DOUBTING_HOSTS;
  }

  get #doubtCount(): number {
    const nowMs = this.#clock.nowMs();
    for (const [host, untilMs] of this.#doubts) {
      if (untilMs <= nowMs) this.#doubts.delete(host);
    }
    return this.#doubts.size;
  }

  /** Whether new work should go to it. */
  get isTrusted(): boolean {
    return this.isAnswering && this.#clock.nowMs() >= this.avoidUntilMs;
  }

  /** Recent share of failed requests, 0 to 1. */
  get failureShare(): number {
    const ageMs = this.#clock.nowMs() - this.#failureAtMs;
    return this.#failureShare * 0.5 ** (ageMs / FAILURE_HALF_LIFE_MS);
  }

  /** Mean duration of recent requests, 0 before the first. */
  get meanMs(): number {
    return this.#meanMs;
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
  takeReport(report: TargetReport): void {
    this.report = report;
    this.reportedMs = this.#clock.nowMs();
    this.span = report.span;
    this.slowness = report.slowness;
    this.silentSinceMs = undefined;
  }

  recordOutcome(isGood: boolean, durationMs: number): void {
    const share = this.failureShare;
    this.#failureShare = share + ((isGood ? 0 : 1) - share) * FAILURE_WEIGHT;
    this.#failureAtMs = this.#clock.nowMs();
    if (!isGood) return;
    this.#meanMs = this.#meanMs === 0
      ? durationMs
      : this.#meanMs + (durationMs - this.#meanMs) * DURATION_WEIGHT;
  }

  markSilent(): void {
    this.silentSinceMs ??= this.#clock.nowMs();
  }

  #restart(record: TargetRecord): void {
    this.span = record.span;
    this.report = undefined;
    this.silentSinceMs = undefined;
    this.#failureShare = 0;
  }
}

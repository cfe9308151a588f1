/**
 * Tells whether this host is cut off from all targets. A target that does not
 * respond may be at fault, or the link of this host may be: before the host
 * draws a conclusion from a failure, some other targets must respond to it on
 * new connections, since established ones may outlive the link.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { Emitter, type Event } from "../common/emitter.ts";
import type { ILog } from "../common/logging.ts";
import type { OrderTarget } from "../ports/services.ts";
import type { Target } from "./target.ts";
import type { TargetTable } from "./target_table.ts";

/** Targets probed first; mostly one of them responds. */
const FIRST_SAMPLE_SIZE = 2;
const FIRST_TIMEOUT_MS = 60;
/** Targets probed next, of all services and failure domains. */
const SECOND_SAMPLE_SIZE = 6;
/** Longer, since reports are slow while this host's own link is full. */
const SECOND_TIMEOUT_MS = 200;
/** A response on a new connection this recent shows that the link works. */
const RECENT_RESPONSE_MS = 100;
/** Least time between checks that find the link sound. */
const CHECK_INTERVAL_MS = 200;
/** Time between checks while the host is cut off. */
const RECOVERY_INTERVAL_MS = 300;

export interface TargetReachabilityOptions {
  readonly targets: TargetTable;
  readonly clock: Clock;
  readonly log: ILog;
  /** Whether a target responds on a new connection within `timeoutMs`. */
  readonly probe: (target: OrderTarget, timeoutMs: number) => Promise<boolean>;
  /** Whether a target accepts requests beyond those of callers. */
  readonly mayProbe: (targetId: string) => boolean;
  readonly random: () => number;
}

export class TargetReachability {
  readonly #options: TargetReachabilityOptions;
  readonly #onChange = new Emitter<boolean>();
  #cutOffSinceMs: number | undefined;
  #lastResponseMs = -Infinity;
  #lastCheckMs = -Infinity;
  #pending: Promise<void> | undefined;

  /** Fires with `isCutOff` when it changes. */
  readonly onChange: Event<boolean> = this.#onChange.event;

  constructor(options: TargetReachabilityOptions) {
    this.#options = options;
  }

  get isCutOff(): boolean {
    return this.#cutOffSinceMs !== undefined;
  }

  /** How long the host has been cut off; 0 if it is not. */
  get cutOffForMs(): number {
    return this.#cutOffSinceMs === undefined
      ? 0
      : this.#options.clock.nowMs() - this.#cutOffSinceMs;
  }

  /** Records that a target responded on a new connection. */
  recordResponse(): void {
    this.#lastResponseMs = this.#options.clock.nowMs();
  }

  /**
   * Called after a target did not respond. Resolves with whether the host is cut
   * off, at once if a target has responded a moment ago.
   */
  async confirmCutOff(): Promise<boolean> {
    if (this.isCutOff || this.#hasRecentResponse()) return this.isCutOff;
    this.#pending ??= this.#check().finally(() => this.#pending = undefined);
    await this.#pending;
    return this.isCutOff;
  }

  /**
   * Marks a target as unresponsive, unless this host is cut off. `evidence` is
   * logged.
   */
  readonly reportSilent = async (
    targetId: string,
    evidence: Readonly<Record<string, unknown>>,
  ): Promise<void> => {
    if (await this.confirmCutOff()) return;
    this.#options.targets.markUnresponsive(targetId, evidence);
  };

  /** Checks until aborted whether a host that is cut off reaches targets again. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options;
    while (!signal.aborted) {
      await clock.sleep(RECOVERY_INTERVAL_MS, signal);
      if (!this.isCutOff) continue;
      const sample = this.#sample().slice(0, FIRST_SAMPLE_SIZE);
      if (await this.#anyResponds(sample, FIRST_TIMEOUT_MS)) {
        this.#setCutOff(false);
      }
    }
  }

  #hasRecentResponse(): boolean {
    const { clock } = this.#options;
    return clock.nowMs() - this.#lastResponseMs < RECENT_RESPONSE_MS;
  }

  async #check(): Promise<void> {
    const { clock } = this.#options;
    await clock.sleep(
      Math.max(0, this.#lastCheckMs + CHECK_INTERVAL_MS - clock.nowMs()),
    );
    const startedMs = clock.nowMs();
    const sample = this.#sample();
    if (sample.length === 0) return;
    const first = sample.slice(0, FIRST_SAMPLE_SIZE);
    const second = sample.slice(FIRST_SAMPLE_SIZE);
    const isReached = await this.#anyResponds(first, FIRST_TIMEOUT_MS) ||
      await this.#anyResponds(second, SECOND_TIMEOUT_MS);
    this.#lastCheckMs = clock.nowMs();
    this.#setCutOff(!isReached && this.#lastResponseMs < startedMs);
  }

  async #anyResponds(
    targets: readonly Target[],
    timeoutMs: number,
  ): Promise<boolean> {
    const { probe } = this.#options;
    const probes = targets.map(async ({ id, record }) => {
      if (!await probe({ id, address: record.address }, timeoutMs)) {
        throw new Error(`no response from target ${id}`);
      }
      this.recordResponse();
    });
    return await Promise.any(probes).then(() => true, () => false);
  }

  /**
   * Some targets, first those that have responded so far, and of each service
   * and failure domain in turn.
   */
  #sample(): Target[] {
    const { targets, mayProbe, random } = this.#options;
    const groups = new Map<string, Target[]>();
    for (const target of targets.all()) {
      if (!target.isReady || !mayProbe(target.id)) continue;
      const isSilent = target.noResponseSinceMs !== undefined;
      const { service, domain } = target.record;
      const key = JSON.stringify([isSilent, service, domain]);
      const group = groups.get(key);
      if (group === undefined) groups.set(key, [target]);
      else group.push(target);
    }
    const ranked = [...groups.values()].flatMap((group) => {
      const shuffled = group.map((target) => ({ target, order: random() }))
        .sort((a, b) => a.order - b.order);
      return shuffled.map(({ target, order }, index) => ({
        target,
        isSilent: target.noResponseSinceMs !== undefined,
        rank: index + order,
      }));
    });
    return ranked
      .sort((a, b) =>
        Number(a.isSilent) - Number(b.isSilent) || a.rank - b.rank
      )
      .slice(0, FIRST_SAMPLE_SIZE + SECOND_SAMPLE_SIZE)
      .map(({ target }) => target);
  }

  #setCutOff(isCutOff: boolean): void {
    if (isCutOff === this.isCutOff) return;
    const { log, clock } = this.#options;
    if (isCutOff) {
      this.#cutOffSinceMs = clock.nowMs();
      log.warn("cut off from all targets", {
        lastResponseMs: Math.round(clock.nowMs() - this.#lastResponseMs),
      });
    } else {
      log.info("targets reached again", {
        cutOffForMs: Math.round(this.cutOffForMs),
      });
      this.#cutOffSinceMs = undefined;
    }
    this.#onChange.fire(isCutOff);
  }
}

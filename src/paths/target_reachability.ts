/**
 * Tells whether this host is cut off from all targets of a service. A target
 * that does not respond may be at fault, or the link of this host may be: before
 * the host draws a conclusion from a failure, some other target of the service
 * must respond to it on a new connection, since established ones may outlive the
 * link.
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
/** Targets probed next, of all failure domains. */
const SECOND_SAMPLE_SIZE = 6;
/** Longer, since reports are slow while this host's own link is full. */
const SECOND_TIMEOUT_MS = 200;
/** A response on a new connection this recent shows that the link works. */
const RECENT_RESPONSE_MS = 200;
/** Timers that fire this late show that this process was blocked. */
const MAX_TIMER_DELAY_MS = 40;
/** Checks in a row if the process is blocked during each of them. */
const MAX_CHECKS = 2;
/**
 * A process whose timers are late takes this many times as long for a probe: it
 * connects, sends and reads the response in turns of its event loop.
 */
const TURNS_PER_PROBE = 3;
const MAX_EXTENSION_MS = 1_000;
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

interface ServiceState {
  cutOffSinceMs: number | undefined;
  /** When a target last responded on a new connection. */
  lastResponseMs: number;
  pendingCheck: Promise<void> | undefined;
}

export interface ReachabilityChange {
  readonly service: string;
  readonly isCutOff: boolean;
}

export class TargetReachability {
  readonly #options: TargetReachabilityOptions;
  readonly #services = new Map<string, ServiceState>();
  readonly #onChange = new Emitter<ReachabilityChange>();
  /** How late the last time-out of probes fired; 0 if a target responded. */
  #timerDelayMs = 0;

  readonly onChange: Event<ReachabilityChange> = this.#onChange.event;

  constructor(options: TargetReachabilityOptions) {
    this.#options = options;
  }

  isCutOff(service: string): boolean {
    return this.#services.get(service)?.cutOffSinceMs !== undefined;
  }

  /** The services from whose targets the host is cut off. */
  cutOffServices(): string[] {
    return [...this.#services.keys()].filter((name) => this.isCutOff(name));
  }

  /** How long the host has been cut off; 0 if it is not. */
  cutOffForMs(service: string): number {
    const sinceMs = this.#services.get(service)?.cutOffSinceMs;
    return sinceMs === undefined ? 0 : this.#options.clock.nowMs() - sinceMs;
  }

  /** Records that a target of a service responded on a new connection. */
  recordResponse(service: string): void {
    this.#stateOf(service).lastResponseMs = this.#options.clock.nowMs();
  }

  /**
   * Called after a target did not respond. Resolves with whether the host is cut
   * off, at once if a target of the service has responded a moment ago.
   */
  async confirmCutOff(service: string): Promise<boolean> {
    const state = this.#stateOf(service);
    const responseAgeMs = this.#options.clock.nowMs() - state.lastResponseMs;
    if (!this.isCutOff(service) && responseAgeMs >= RECENT_RESPONSE_MS) {
      state.pendingCheck ??= this.#check(service).finally(() =>
        state.pendingCheck = undefined
      );
      await state.pendingCheck;
    }
    return this.isCutOff(service);
  }

  /**
   * Marks a target as unresponsive, unless this host is cut off from all targets
   * of its service. `evidence` is logged.
   */
  readonly reportSilent = async (
    targetId: string,
    evidence: Readonly<Record<string, unknown>>,
  ): Promise<void> => {
    const { targets } = this.#options;
    const service = targets.get(targetId)?.record.service;
    if (service === undefined || await this.confirmCutOff(service)) return;
    targets.markUnresponsive(targetId, evidence);
  };

  /** Checks until aborted whether a host that is cut off reaches targets again. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#options.clock.sleep(RECOVERY_INTERVAL_MS, signal);
      await Promise.all(
        this.cutOffServices().map((service) => this.#checkRecovery(service)),
      );
    }
  }

  async #checkRecovery(service: string): Promise<void> {
    const sample = this.#sample(service).slice(0, FIRST_SAMPLE_SIZE);
    if (await this.#anyResponds(sample, FIRST_TIMEOUT_MS)) {
      this.#setCutOff(service, false);
    }
  }

  async #check(service: string): Promise<void> {
    const startedMs = this.#options.clock.nowMs();
    for (let count = 1;; count++) {
      const result = await this.#probeSample(service);
      if (result === "no-targets") return;
      const isReached = result === "reached" ||
        this.#stateOf(service).lastResponseMs >= startedMs;
      // The responses may have arrived while this process was blocked.
      if (isReached || result === "silent" || count === MAX_CHECKS) {
        this.#setCutOff(service, !isReached);
        return;
      }
    }
  }

  /** Returns "blocked" if none responded and this process was blocked meanwhile. */
  async #probeSample(
    service: string,
  ): Promise<"no-targets" | "reached" | "silent" | "blocked"> {
    const sample = this.#sample(service);
    if (sample.length === 0) return "no-targets";
    const first = sample.slice(0, FIRST_SAMPLE_SIZE);
    const second = sample.slice(FIRST_SAMPLE_SIZE);
    const isReached = await this.#anyResponds(first, FIRST_TIMEOUT_MS);
    const firstDelayMs = this.#timerDelayMs;
    if (isReached || await this.#anyResponds(second, SECOND_TIMEOUT_MS)) {
      return "reached";
    }
    const delayMs = firstDelayMs + this.#timerDelayMs;
    return delayMs > MAX_TIMER_DELAY_MS ? "blocked" : "silent";
  }

  async #anyResponds(
    targets: readonly Target[],
    baseTimeoutMs: number,
  ): Promise<boolean> {
    const { probe, clock } = this.#options;
    const timeoutMs = baseTimeoutMs +
      Math.min(MAX_EXTENSION_MS, TURNS_PER_PROBE * this.#timerDelayMs);
    const startedMs = clock.nowMs();
    const probes = targets.map(async ({ id, record }) => {
      if (!await probe({ id, address: record.address }, timeoutMs)) {
        throw new Error(`no response from target ${id}`);
      }
      this.recordResponse(record.service);
    });
    const isReached = await Promise.any(probes).then(() => true, () => false);
    const elapsedMs = clock.nowMs() - startedMs;
    this.#timerDelayMs = isReached ? 0 : Math.max(0, elapsedMs - timeoutMs);
    return isReached;
  }

  /**
   * Some targets of a service, first those that have responded so far, and of
   * each failure domain in turn.
   */
  #sample(service: string): Target[] {
    const { targets, mayProbe, random } = this.#options;
    const counts = new Map<string, number>();
    return targets.ofService(service)
      .filter((target) => target.isReady && mayProbe(target.id))
      .map((target) => ({ target, order: random() }))
      .sort((a, b) => a.order - b.order)
      .map(({ target, order }) => {
        const isSilent = target.noResponseSinceMs !== undefined;
        const group = `${isSilent} ${target.record.domain}`;
        const count = counts.get(group) ?? 0;
        counts.set(group, count + 1);
        return { target, isSilent, rank: count + order };
      })
      .sort((a, b) =>
        Number(a.isSilent) - Number(b.isSilent) || a.rank - b.rank
      )
      .slice(0, FIRST_SAMPLE_SIZE + SECOND_SAMPLE_SIZE)
      .map(({ target }) => target);
  }

  #stateOf(service: string): ServiceState {
    let state = this.#services.get(service);
    if (state === undefined) {
      state = {
        cutOffSinceMs: undefined,
        lastResponseMs: -Infinity,
        pendingCheck: undefined,
      };
      this.#services.set(service, state);
    }
    return state;
  }

  #setCutOff(service: string, isCutOff: boolean): void {
    if (isCutOff === this.isCutOff(service)) return;
    const { log, clock } = this.#options;
    const state = this.#stateOf(service);
    const nowMs = clock.nowMs();
    if (isCutOff) {
      state.cutOffSinceMs = nowMs;
      log.warn("cut off from all targets", {
        service,
        lastResponseMs: Math.round(nowMs - state.lastResponseMs),
      });
    } else {
      log.info("targets reached again", {
        service,
        cutOffForMs: Math.round(this.cutOffForMs(service)),
      });
      state.cutOffSinceMs = undefined;
    }
    this.#onChange.fire({ service, isCutOff });
  }
}

/**
 * Keeps the target directory fresh: one task for each watched engine polls
 * its published state, engines in doubt are read at once, and the platform's
 * list is heard.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { systemClock } from "../common/clock.ts";
import { DisposableStore } from "../common/lifecycle.ts";
import type { Random } from "../common/random.ts";
import type { IConfigService } from "../config/services.ts";
import type { IHostListWatcher } from "../fleet/services.ts";
import type { IEngineClient } from "../clients/services.ts";
import type { ListedHost } from "../clients/types.ts";
import type { TargetDirectory } from "./target_directory.ts";

const POLL_INTERVAL_MS = 1_000;
/** Time between polls of an engine that did not answer the last one. */
const RETRY_INTERVAL_MS = 500;
const POLL_TIMEOUT_MS = 800;
/** Failed polls in a row after which a target counts as lost. */
const LOST_AFTER_POLLS = 3;
/** A doubt is looked into after up to this, so that hosts do not all look at once. */
const CHECK_JITTER_MS = 200;
/** Engines in use but not polled that are read each second until they answer. */
const CHECKS_PER_ROUND = 16;
/** Spread of poll times, so that hosts started together do not poll together. */
const POLL_JITTER = 0.2;

/** Collaborators of a `TargetWatcher`. */
export interface TargetWatcherOptions {
  readonly config: IConfigService;
  readonly engines: IEngineClient;
  readonly directory: TargetDirectory;
  readonly hostList?: IHostListWatcher;
  readonly clock?: Clock;
  readonly random?: Random;
  /** Time between two polls of one engine, as it is at the moment. */
  readonly pollIntervalMs?: () => number;
  readonly pollTimeoutMs?: number;
  readonly lostAfterPolls?: number;
  /** Chooses the engines that this host polls, all by default. */
  readonly watches?: (target: string) => boolean;
  /** Engines that this host uses and reads once, if it does not poll them. */
  readonly uses?: () => Iterable<string>;
}

interface Poller {
  readonly url: string;
  readonly abort: AbortController;
  readonly done: Promise<void>;
}

/** Polls engines while `run` runs. */
export class TargetWatcher {
  readonly #options: TargetWatcherOptions;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #pollIntervalMs: () => number;
  #engines: readonly { readonly target: string; readonly url: string }[] = [];
  #wake: AbortController | undefined;
  readonly #checking = new Set<string>();
  readonly #pollers = new Map<string, Poller>();

  constructor(options: TargetWatcherOptions) {
    this.#options = options;
    this.#clock = options.clock ?? systemClock;
    this.#random = options.random ?? Math.random;
    this.#pollIntervalMs = options.pollIntervalMs ??
      (() => POLL_INTERVAL_MS);
  }

  /** Watches until `signal` aborts; resolves once every poll has ended. */
  async run(signal: AbortSignal): Promise<void> {
    const { config, directory, hostList } = this.#options;
    const store = new DisposableStore();
    store.add(config.onChange(() => this.#readConfig()));
    this.#readConfig();
    store.add(
      directory.onCheckRequested((target) => void this.#check(target, signal)),
    );
    if (hostList) {
      store.add(hostList.onList((list) => this.#handleHostList(list)));
    }
    while (!signal.aborted) {
      this.#updatePollers();
      directory.refreshNotices();
      const foundUnknown = await this.#checkUnpolled(signal);
      if (!foundUnknown) await this.#waitForNextRound(signal);
    }
    store.dispose();
    const ending = [...this.#pollers.values()].map((poller) => poller.done);
    for (const target of [...this.#pollers.keys()]) this.#stop(target);
    await Promise.all(ending);
  }

  /** Polls one engine now; the directory holds the result. */
  async poll(target: string, signal?: AbortSignal): Promise<boolean> {
    const url = this.#options.config.state.config.targets[target]?.url;
    if (url === undefined) return false;
    const timeoutMs = this.#options.pollTimeoutMs ?? POLL_TIMEOUT_MS;
    const answer = await this.#options.engines.readState(url, {
      deadlineMs: this.#clock.nowMs() + timeoutMs,
      signal,
    });
    if (signal?.aborted) return true;
    if (answer.isOk() && answer.value.target === target) {
      this.#options.directory.recordState(answer.value);
      return true;
    }
    if (answer.isOk() || answer.error.code === "connection-failed") {
      this.#options.directory.markSuspect(target);
    }
    return false;
  }

  /** Waits for the next round, or for a change of the configuration. */
  async #waitForNextRound(signal: AbortSignal): Promise<void> {
    const wake = new AbortController();
    this.#wake = wake;
    const either = AbortSignal.any([signal, wake.signal]);
    await this.#clock.sleep(POLL_INTERVAL_MS, either);
  }

  async #check(target: string, signal: AbortSignal): Promise<void> {
    if (this.#checking.has(target) || signal.aborted) return;
    if (!this.#isUsed(target)) return;
    this.#checking.add(target);
    await this.#clock.sleep(this.#random() * CHECK_JITTER_MS, signal);
    if (!signal.aborted) await this.poll(target, signal);
    this.#checking.delete(target);
  }

  #isUsed(target: string): boolean {
    if (this.#pollers.has(target) || !this.#options.uses) return true;
    for (const used of this.#options.uses()) {
      if (used === target) return true;
    }
    return false;
  }

  /**
   * Reads some of the engines in use that are not polled and not known well.
   * Resolves with true when one that was not known answered, so that a host
   * that starts goes on at once.
   */
  async #checkUnpolled(signal: AbortSignal): Promise<boolean> {
    const { directory, uses } = this.#options;
    const unresponsive = new Set(directory.unresponsiveTargets());
    const wanted = [...uses?.() ?? []].filter((target) =>
      !this.#pollers.has(target) &&
      (unresponsive.has(target) || !directory.engineState(target))
    );
    const start = Math.floor(this.#random() * wanted.length);
    const rotated = [...wanted.slice(start), ...wanted.slice(0, start)];
    const selected = rotated.slice(0, CHECKS_PER_ROUND);
    const found = await Promise.all(
      selected.map(async (target) => {
        const wasKnown = directory.lastState(target) !== undefined;
        return await this.poll(target, signal) && !wasKnown;
      }),
    );
    return found.includes(true);
  }

  #readConfig(): void {
    const { targets } = this.#options.config.state.config;
    this.#engines = Object.entries(targets)
      .filter(([, { kind }]) => kind === "engine")
      .map(([target, { url }]) => ({ target, url }));
    for (const [target, { url }] of [...this.#pollers]) {
      if (targets[target]?.url !== url) this.#stop(target);
    }
    this.#updatePollers();
    this.#wake?.abort();
  }

  #updatePollers(): void {
    const watches = this.#options.watches ?? (() => true);
    for (const { target, url } of this.#engines) {
      if (watches(target)) this.#start(target, url);
      else this.#stop(target);
    }
  }

  #start(target: string, url: string): void {
    if (this.#pollers.has(target)) return;
    const abort = new AbortController();
    const done = this.#pollForever(target, abort.signal);
    this.#pollers.set(target, { url, abort, done });
  }

  #stop(target: string): void {
    this.#pollers.get(target)?.abort.abort();
    this.#pollers.delete(target);
  }

  async #pollForever(target: string, signal: AbortSignal): Promise<void> {
    const lostAfterPolls = this.#options.lostAfterPolls ?? LOST_AFTER_POLLS;
    let failedPolls = 0;
    while (!signal.aborted) {
      const answered = await this.poll(target, signal);
      if (signal.aborted) return;
      failedPolls = answered ? 0 : failedPolls + 1;
      if (failedPolls === 2) this.#options.directory.markSuspect(target);
      if (failedPolls >= lostAfterPolls) {
        this.#options.directory.markLost(target);
      }
      const waitMs = this.#nextWaitMs();
      await this.#clock.sleep(
        answered ? waitMs : Math.min(waitMs, RETRY_INTERVAL_MS),
        signal,
      );
    }
  }

  #nextWaitMs(): number {
    const spread = (this.#random() - 0.5) * 2 * POLL_JITTER;
    return this.#pollIntervalMs() * (1 + spread);
  }

  #handleHostList(list: readonly ListedHost[]): void {
    const { directory } = this.#options;
    for (const { name, role, state } of list) {
      if (role !== "target") continue;
      if (state === "leaving") directory.markLeaving(name, "list");
      else directory.clearLeaving(name, "list");
    }
  }
}

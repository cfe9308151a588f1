/**
 * Settings of a running host. The settings file may change at any time, with or
 * without a signal: changed bounds are in force at once, and other members from
 * the next start on. A file that cannot be used changes nothing.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { Emitter, type Event } from "../common/emitter.ts";
import type { ILog } from "../common/logging.ts";
import type { ISettingsSource } from "../ports/services.ts";
import type { HostBounds, HostSettings } from "../ports/types.ts";

/** Interval at which the file is read for changes without a signal. */
const READ_INTERVAL_MS = 1_000;
/** The slices in which retries are counted depend on the length of the window. */
const RESTART_BOUNDS: readonly string[] = ["retryWindowMs"];

export interface LiveSettingsOptions {
  readonly settings: HostSettings;
  /** By default, the settings never change. */
  readonly settingsSource?: ISettingsSource;
  readonly clock: Clock;
  readonly log: ILog;
}

export class LiveSettings {
  readonly #options: LiveSettingsOptions;
  readonly #onBounds = new Emitter<HostBounds>();
  #lastCheck = Promise.resolve();
  #text: string | undefined;
  #unreadableReason: string | undefined;
  #bounds: HostBounds;
  /** The file's last usable settings, of which some may need a restart. */
  #latest: HostSettings;

  /** Fires when a bound has changed. */
  readonly onBounds: Event<HostBounds> = this.#onBounds.event;

  constructor(options: LiveSettingsOptions) {
    this.#options = options;
    this.#latest = options.settings;
    this.#bounds = options.settings.bounds;
  }

  /** The bounds in force. */
  get bounds(): HostBounds {
    return this.#bounds;
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, settingsSource } = this.#options;
    while (settingsSource !== undefined && !signal.aborted) {
      await this.check();
      await clock.sleep(READ_INTERVAL_MS, signal);
    }
  }

  /**
   * Reads the file and applies what has changed since the last read; after the
   * read in progress, if there is one.
   */
  check(): Promise<void> {
    this.#lastCheck = this.#lastCheck.then(() => this.#check());
    return this.#lastCheck;
  }

  async #check(): Promise<void> {
    const { settingsSource: source, log } = this.#options;
    if (source === undefined) return;
    try {
      const text = await source.read();
      this.#unreadableReason = undefined;
      if (text === this.#text) return;
      this.#text = text;
      const { host, faults } = source.decode(text, this.#bounds);
      if (faults.length > 0) {
        log.warn("invalid settings, using what is in force", { faults });
      }
      this.#apply(host);
    } catch (error) {
      const reason = String(error);
      if (reason === this.#unreadableReason) return;
      this.#unreadableReason = reason;
      log.warn("settings file not usable; settings unchanged", { reason });
    }
  }

  #apply(next: HostSettings): void {
    const { bounds: present, isFirstStart: _, ...fixed } = this.#latest;
    const { bounds, isFirstStart: __, ...nextFixed } = next;
    const isFixed = (name: string) => RESTART_BOUNDS.includes(name);
    const differences = differencesOf(present, bounds);
    const changed = differences.filter(({ name }) => !isFixed(name));
    const needsRestart = [
      ...differences.filter(({ name }) => isFixed(name)),
      ...differencesOf(fixed, nextFixed),
    ];
    this.#latest = next;
    if (changed.length === 0 && needsRestart.length === 0) return;
    this.#options.log.info("settings changed", { changed, needsRestart });
    if (changed.length === 0) return;
    this.#bounds = { ...bounds, retryWindowMs: this.#bounds.retryWindowMs };
    this.#onBounds.fire(this.#bounds);
  }
}

/** A member whose value has changed. */
interface Difference {
  readonly name: string;
  readonly from: unknown;
  readonly to: unknown;
}

function differencesOf(from: object, to: object): Difference[] {
  const present = new Map(Object.entries(from));
  const next = new Map(Object.entries(to));
  const names = new Set([...present.keys(), ...next.keys()]);
  return [...names]
    .map((name) => ({ name, from: present.get(name), to: next.get(name) }))
    .filter((one) => JSON.stringify(one.from) !== JSON.stringify(one.to));
}

/**
 * The era of the store: it rises each time the store comes back from an older
 * copy, which lacks the records that were appended last. Offsets of different
 * eras can't be compared.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import { Emitter, type Event } from "../common/emitter.ts";
import type { ILog } from "../common/logging.ts";

/**
 * Time after which the records that the copy lacks are expected to have been
 * written again; the platform gives it to records that expired in an outage.
 */
const SETTLE_MS = 2_000;

export interface EraTrackerOptions {
  readonly clock: Clock;
  readonly log: ILog;
}

/** A change of the era; `from` is undefined for the first one. */
export interface EraChange {
  readonly from: number | undefined;
  readonly to: number;
  /** Who told: the store, or a host's id. */
  readonly source: string;
}

/** The highest era that this host has met. */
export class EraTracker {
  readonly #options: EraTrackerOptions;
  readonly #onAdvance = new Emitter<EraChange>();
  readonly #onSettled = new Emitter<void>();
  #current: number | undefined;
  #metMs = -Infinity;
  #isSettledByOthers = false;
  #hasLoggedLower = false;

  /** Fires when a higher era is met, also for the first one. */
  readonly onAdvance: Event<EraChange> = this.#onAdvance.event;

  /** Fires when others tell that the era is settled, before this host's own time. */
  readonly onSettled: Event<void> = this.#onSettled.event;

  constructor(options: EraTrackerOptions) {
    this.#options = options;
  }

  /** Undefined until the store or a host has named one. */
  get current(): number | undefined {
    return this.#current;
  }

  /**
   * Whether the records that the store lost are expected to be back, so that a
   * complete read proves which are the newest. Always true for a store without
   * eras.
   */
  get isSettled(): boolean {
    return this.settlesInMs === 0;
  }

  /** Time until the era counts as settled, if no other host tells so earlier. */
  get settlesInMs(): number {
    if (this.#current === undefined || this.#isSettledByOthers) return 0;
    const settledMs = this.#metMs + SETTLE_MS;
    return Math.max(0, settledMs - this.#options.clock.nowMs());
  }

  /** Whether an answer of this era may be applied; one that names none may. */
  isCurrent(era: number | undefined): boolean {
    return era === undefined || era === this.#current;
  }

  /** Takes note of an era; undefined, and a lower one, tell nothing new. */
  observe(era: number | undefined, source: string): void {
    const { clock, log } = this.#options;
    const from = this.#current;
    if (era === undefined || era === from) return;
    if (from !== undefined && era < from) {
      if (!this.#hasLoggedLower) {
        log.info("lower era of the store ignored", {
          era,
          current: from,
          source,
        });
      }
      this.#hasLoggedLower = true;
      return;
    }
    this.#current = era;
    this.#metMs = clock.nowMs();
    this.#isSettledByOthers = false;
    this.#onAdvance.fire({ from, to: era, source });
  }

  /** Takes note that another host holds the era for settled. */
  observeSettled(era: number | undefined, source: string): void {
    this.observe(era, source);
    if (era === undefined || era !== this.#current || this.isSettled) return;
    this.#isSettledByOthers = true;
    this.#onSettled.fire();
  }
}

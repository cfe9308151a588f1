/**
 * Whether a starting host has the state of its targets. Until each engine has
 * published its state or was found unresponsive, the host would reject requests
 * that another host could serve. The wait is limited, since an engine may never
 * respond.
 *
 * @module
 */

import { type Clock, systemClock } from "../common/clock.ts";
import type { TargetDirectory } from "../pipelines/target_directory.ts";
import type { TargetSubset } from "../pipelines/target_subset.ts";

/** Longest wait for engines of unknown state. */
const MAX_WAIT_MS = 2_000;

/** Sources of the targets and of their states. */
export interface TargetReadinessOptions {
  readonly subset: Pick<TargetSubset, "all">;
  readonly directory: Pick<TargetDirectory, "lastState" | "unresponsiveForMs">;
  readonly clock?: Clock;
}

/** Becomes ready once the state of every used target is known, and stays ready. */
export class TargetReadiness {
  readonly #options: TargetReadinessOptions;
  readonly #clock: Clock;
  #isLatchedReady = false;
  #waitUntilMs: number | undefined;

  constructor(options: TargetReadinessOptions) {
    this.#options = options;
    this.#clock = options.clock ?? systemClock;
  }

  /** False while a used engine has neither published its state nor become unresponsive, for a limited time. */
  get isReady(): boolean {
    if (this.#isLatchedReady) return true;
    const { subset, directory } = this.#options;
    const used = [...subset.all()];
    const areAllKnown = used.every((target) =>
      directory.lastState(target) !== undefined ||
      directory.unresponsiveForMs(target) > 0
    );
    if (used.length === 0) return true;
    this.#waitUntilMs ??= this.#clock.nowMs() + MAX_WAIT_MS;
    this.#isLatchedReady = areAllKnown ||
      this.#clock.nowMs() >= this.#waitUntilMs;
    return this.#isLatchedReady;
  }
}

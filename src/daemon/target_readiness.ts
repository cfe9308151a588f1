/**
 * Whether a starting host knows its targets. Until it has heard of each engine
 * once, or found it silent, it would refuse what another host could serve. An
 * engine that never answers holds a host back for a short time only.
 *
 * @module
 */

import { type Clock, systemClock } from "../common/clock.ts";
import type { TargetDirectory } from "../pipelines/target_directory.ts";
import type { TargetSubset } from "../pipelines/target_subset.ts";

/** How long unheard engines hold a host back. */
const MAX_WAIT_MS = 2_000;

/** Where the targets are known from. */
export interface TargetReadinessOptions {
  readonly subset: Pick<TargetSubset, "all">;
  readonly directory: Pick<TargetDirectory, "lastState" | "silentForMs">;
  readonly clock?: Clock;
}

/** Tells when every target was heard of; from then on it stays so. */
export class TargetReadiness {
  readonly #options: TargetReadinessOptions;
  readonly #clock: Clock;
  #isLatchedReady = false;
  #waitUntilMs: number | undefined;

  constructor(options: TargetReadinessOptions) {
    this.#options = options;
    this.#clock = options.clock ?? systemClock;
  }

  /** False while a used engine has neither published its state nor failed to. */
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

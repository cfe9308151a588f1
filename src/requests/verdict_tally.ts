/**
 * The verdict on a request that was tried several times.
 *
 * @module
 */

import type { Failure } from "../common/verdict.ts";

/** Combines failures: `not-run` holds only when it held for every attempt. */
export class VerdictTally {
  #mayHaveRun = false;

  /** Notes that an attempt ended so. */
  note(verdict: Failure["verdict"]): void {
    if (verdict === "may-have-run") this.#mayHaveRun = true;
  }

  /** Returns `failure` with the verdict on all attempts noted and itself. */
  combine(failure: Failure): Failure {
    if (!this.#mayHaveRun) return failure;
    return { ...failure, verdict: "may-have-run" };
  }
}

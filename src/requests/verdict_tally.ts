/**
 * Combines the verdicts of several attempts at one request.
 *
 * @module
 */

import type { Failure } from "../common/verdict.ts";

/** The combined verdict is `not-run` only if every attempt was `not-run`. */
export class VerdictTally {
  #mayHaveRun = false;

  /** Records the verdict of an attempt. */
  note(verdict: Failure["verdict"]): void {
    if (verdict === "may-have-run") this.#mayHaveRun = true;
  }

  /** Returns `failure` with the verdict combined over all recorded attempts. */
  combine(failure: Failure): Failure {
    if (!this.#mayHaveRun) return failure;
    return { ...failure, verdict: "may-have-run" };
  }
}

/**
 * Continuous batching: one loop that runs whatever is ready, the highest
 * priority first, as many at a time as a batch holds.
 *
 * @module
 */

import type { Faults } from "../common/faults.ts";
import { sleep } from "../common/server.ts";

/** One step of one sequence. */
export interface BatchStep {
  readonly priority: number;
  readonly prefillMs: number;
  /** Ends the process when the batch that holds it runs. */
  readonly crashes: boolean;
}

export interface BatcherOptions {
  readonly faults: Faults;
  readonly tokenMs: number;
  readonly maxBatch: number;
}

interface Waiting extends BatchStep {
  readonly resolve: () => void;
}

/** The loop of one engine. */
export class Batcher {
  readonly #options: BatcherOptions;
  #waiting: Waiting[] = [];
  #isRunning = false;

  constructor(options: BatcherOptions) {
    this.#options = options;
  }

  /** Resolves when the batch that held the step has run. */
  run(step: BatchStep): Promise<void> {
    return new Promise((resolve) => {
      this.#waiting.push({ ...step, resolve });
      if (this.#isRunning) return;
      this.#isRunning = true;
      void this.#loop();
    });
  }

  async #loop(): Promise<void> {
    await nextTurn();
    while (this.#waiting.length > 0) {
      await this.#options.faults.untilThawed();
      const batch = this.#nextBatch();
      const prefillMs = batch.reduce((sum, step) => sum + step.prefillMs, 0);
      const workMs = this.#options.tokenMs + prefillMs;
      if (workMs > 0) await sleep(workMs);
      await this.#options.faults.untilThawed();
      if (batch.some((step) => step.crashes)) this.#options.faults.die();
      for (const step of batch) step.resolve();
      await nextTurn();
    }
    this.#isRunning = false;
  }

  #nextBatch(): Waiting[] {
    this.#waiting.sort((a, b) => b.priority - a.priority);
    return this.#waiting.splice(0, this.#options.maxBatch);
  }
}

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

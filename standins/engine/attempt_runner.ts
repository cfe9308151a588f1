/**
 * Runs the attempts of which this engine is the first stage, token by token,
 * and ends those that nobody listens to or that are past their deadline.
 *
 * @module
 */

import type { EngineLoad, GenerateRequest } from "../../src/clients/types.ts";
import { Attempt } from "./attempt.ts";
import { addToken, hashPrompt, isStop } from "./expected_answer.ts";
import type { Stage } from "./stage.ts";
import { isStageError } from "./types.ts";

const SWEEP_INTERVAL_MS = 100;

export interface AttemptRunnerOptions {
  readonly target: string;
  readonly stage: Stage;
  /** How long an attempt runs on after its listener went away. */
  readonly graceMs: number;
  /** The load to report with an end. */
  readonly load: () => EngineLoad;
}

/** The attempts of one engine. */
export class AttemptRunner {
  readonly #options: AttemptRunnerOptions;
  readonly #attempts = new Map<string, Attempt>();
  readonly #sweepTimer: NodeJS.Timeout;

  constructor(options: AttemptRunnerOptions) {
    this.#options = options;
    this.#sweepTimer = setInterval(() => this.#sweep(), SWEEP_INTERVAL_MS);
  }

  /** An attempt that runs, or that ended a short while ago. */
  attempt(attemptId: string): Attempt | undefined {
    return this.#attempts.get(attemptId);
  }

  /** Starts an attempt that is open at every stage. */
  start(request: GenerateRequest): Attempt {
    const attempt = new Attempt(request);
    this.#attempts.set(request.attemptId, attempt);
    void this.#run(attempt);
    return attempt;
  }

  /** Ends an attempt here and at all later stages. */
  end(attemptId: string, error: string): Promise<void> {
    const { stage, target } = this.#options;
    const attempt = this.#attempts.get(attemptId);
    this.#attempts.delete(attemptId);
    attempt?.finish({ error, target });
    return stage.close(attemptId);
  }

  close(): void {
    clearInterval(this.#sweepTimer);
  }

  async #run(attempt: Attempt): Promise<void> {
    const { prompt, attemptId, generated } = attempt.request;
    let prefix = generated.reduce(addToken, hashPrompt(prompt));
    let last = generated.at(-1);
    while (!this.#finishIfComplete(attempt, last)) {
      const index = attempt.nextIndex;
      const step = { attemptId, index, state: prefix, ran: "" };
      const result = await this.#options.stage.step(step);
      if (attempt.isFinished) break;
      if (isStageError(result)) {
        attempt.finish(result);
        break;
      }
      attempt.add({ attemptId, index, ...result });
      last = result.id;
      prefix = addToken(prefix, result.id);
    }
    await this.#options.stage.close(attemptId);
  }

  /** Finishes an attempt whose answer is whole; false while it is not. */
  #finishIfComplete(attempt: Attempt, last: number | undefined): boolean {
    const { attemptId, maxTokens } = attempt.request;
    const tokenCount = attempt.nextIndex;
    const hasStopped = last !== undefined && isStop(last);
    if (!hasStopped && tokenCount < maxTokens) return false;
    const reason = hasStopped ? "stop" : "length";
    const load = this.#options.load();
    attempt.finish({ attemptId, tokenCount, reason, load });
    return true;
  }

  #sweep(): void {
    const nowWallMs = Date.now();
    this.#options.stage.closeExpired(nowWallMs);
    for (const [attemptId, attempt] of this.#attempts) {
      const unheardMs = nowWallMs - (attempt.detachedSinceWallMs ?? nowWallMs);
      const isLate = attempt.request.deadlineWallMs < nowWallMs;
      if (isLate) void this.end(attemptId, "deadline-exceeded");
      else if (unheardMs > this.#options.graceMs) {
        void this.end(attemptId, "cancelled");
      }
    }
  }
}

/**
 * Runs the attempts of which this engine is the first stage, token by token, and
 * ends those that are past their deadline or have lost their connection for
 * longer than the grace period.
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
  /** How long an attempt continues without a connection. */
  readonly graceMs: number;
  /** Returns the load that is reported at the end of an attempt. */
  readonly load: () => EngineLoad;
}

export class AttemptRunner {
  readonly #options: AttemptRunnerOptions;
  readonly #attempts = new Map<string, Attempt>();
  readonly #sweepTimer: NodeJS.Timeout;

  constructor(options: AttemptRunnerOptions) {
    this.#options = options;
    this.#sweepTimer = setInterval(() => this.#sweep(), SWEEP_INTERVAL_MS);
  }

  /** Returns an attempt that is running or within its grace period. */
  attempt(attemptId: string): Attempt | undefined {
    return this.#attempts.get(attemptId);
  }

  /** Starts an attempt. It must be open at every stage. */
  start(request: GenerateRequest): Attempt {
    const attempt = new Attempt(request);
    this.#attempts.set(request.attemptId, attempt);
    void this.#run(attempt);
    return attempt;
  }

  /** Ends an attempt with an error, here and at all later stages. */
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
    let lastTokenId = generated.at(-1);
    while (!this.#finishIfComplete(attempt, lastTokenId)) {
      const index = attempt.nextIndex;
      const step = { attemptId, index, state: prefix, ran: "" };
      const result = await this.#options.stage.step(step);
      if (attempt.isFinished) break;
      if (isStageError(result)) {
        attempt.finish(result);
        break;
      }
      attempt.add({ attemptId, index, ...result });
      lastTokenId = result.id;
      prefix = addToken(prefix, result.id);
    }
    await this.#options.stage.close(attemptId);
  }

  /** Finishes the attempt if its answer is complete; returns whether it is. */
  #finishIfComplete(
    attempt: Attempt,
    lastTokenId: number | undefined,
  ): boolean {
    const { attemptId, maxTokens } = attempt.request;
    const tokenCount = attempt.nextIndex;
    const hasStopped = lastTokenId !== undefined && isStop(lastTokenId);
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
      const detachedMs = nowWallMs - (attempt.detachedSinceWallMs ?? nowWallMs);
      const isExpired = attempt.request.deadlineWallMs < nowWallMs;
      if (isExpired) void this.end(attemptId, "deadline-exceeded");
      else if (detachedMs > this.#options.graceMs) {
        void this.end(attemptId, "cancelled");
      }
    }
  }
}

/**
 * One engine's part in chains: the attempts open here, and the way of each
 * token through this engine's layers and on to the next stage.
 *
 * @module
 */

import type { GenerateRequest } from "../../src/clients/types.ts";
import { chainSignature } from "../../src/clients/types.ts";
import type { Faults } from "../common/faults.ts";
import type { Batcher } from "./batcher.ts";
import { foldLayers, tokenOf } from "./expected_answer.ts";
import type { ModelHolder } from "./model_holder.ts";
import type { PrefixCache } from "./prefix_cache.ts";
import type { StageLink } from "./stage_link.ts";
import type {
  OpenMessage,
  StageError,
  StageResult,
  StageStep,
} from "./types.ts";

export interface StageOptions {
  readonly target: string;
  readonly faults: Faults;
  readonly holder: ModelHolder;
  readonly batcher: Batcher;
  readonly cache: PrefixCache;
  readonly link: StageLink;
  readonly prefillMsPerToken: number;
  /** Content that ends the process when it runs. */
  readonly crashMarker: string;
  /** Attempts that may be open at once. */
  readonly maxAttempts: number;
}

interface OpenAttempt extends OpenMessage {
  /** False until this stage computed anything for it. */
  isStarted: boolean;
}

/** The stage. */
export class Stage {
  readonly #options: StageOptions;
  readonly #open = new Map<string, OpenAttempt>();
  #startedCount = 0;

  constructor(options: StageOptions) {
    this.#options = options;
  }

  /** Attempts open here. */
  get openCount(): number {
    return this.#open.size;
  }

  /** Attempts for which this stage computed anything. */
  get startedCount(): number {
    return this.#startedCount;
  }

  /** The request of an open attempt. */
  request(attemptId: string): GenerateRequest | undefined {
    return this.#open.get(attemptId)?.request;
  }

  /** Opens an attempt here and at all later stages, or nowhere. */
  async open(message: OpenMessage): Promise<StageError | undefined> {
    const refused = this.#rejectionReason(message);
    if (refused !== undefined) return this.#stageError(refused);
    const { request, stageIndex } = message;
    this.#open.set(request.attemptId, { ...message, isStarted: false });
    const next = request.chain[stageIndex + 1];
    if (!next) return undefined;
    const failure = await this.#options.link.open(next, {
      request,
      stageIndex: stageIndex + 1,
    });
    if (failure) void this.close(request.attemptId);
    return failure;
  }

  /** Ends an attempt here and at all later stages. */
  async close(attemptId: string): Promise<void> {
    const attempt = this.#open.get(attemptId);
    if (!attempt) return;
    this.#open.delete(attemptId);
    const next = attempt.request.chain[attempt.stageIndex + 1];
    if (next) await this.#options.link.cancel(next, attemptId);
  }

  /** Ends the attempts whose deadline has passed. */
  closeExpired(nowWallMs: number): void {
    for (const [attemptId, { request }] of this.#open) {
      if (request.deadlineWallMs < nowWallMs) this.#open.delete(attemptId);
    }
  }

  /** Runs one token from here to the last stage. */
  async step(step: StageStep): Promise<StageResult> {
    const attempt = this.#open.get(step.attemptId);
    if (!attempt) return this.#stageError("unknown-attempt");
    const { request, stageIndex } = attempt;
    const refusal = this.#options.holder.rejectionReason(request, stageIndex);
    if (refusal) return this.#stageError(refusal);
    await this.#compute(attempt);
    const stale = this.#options.holder.rejectionReason(request, stageIndex);
    if (stale) return this.#stageError(stale);
    return this.#forward(attempt, step);
  }

  async #compute(attempt: OpenAttempt): Promise<void> {
    const { prompt, priority } = attempt.request;
    const { crashMarker, prefillMsPerToken } = this.#options;
    const prefillTokens = attempt.isStarted ? 0 : this.#startPrefill(attempt);
    await this.#options.batcher.run({
      priority,
      prefillMs: prefillTokens * prefillMsPerToken,
      crashes: crashMarker !== "" && prompt.includes(crashMarker),
    });
  }

  /** Notes that an attempt starts; returns the tokens to be computed first. */
  #startPrefill(attempt: OpenAttempt): number {
    const { prompt, cacheScope, generated } = attempt.request;
    attempt.isStarted = true;
    this.#startedCount++;
    const words = prompt.split(/\s+/).filter(Boolean);
    return this.#options.cache.admit(cacheScope, words) + generated.length;
  }

  #forward(
    attempt: OpenAttempt,
    step: StageStep,
  ): Promise<StageResult> | StageResult {
    const { request, stageIndex } = attempt;
    const { target, holder, link } = this.#options;
    const { model, version, first, end } = holder.loaded;
    const { generation } = holder;
    const weights = { model, version, adapter: request.adapter };
    const state = foldLayers(step.state, weights, { first, end });
    const own = chainSignature([{ target, first, end, generation }]);
    const ran = step.ran === "" ? own : `${step.ran},${own}`;
    const next = request.chain[stageIndex + 1];
    if (next) return link.step(next, { ...step, state, ran });
    return { ...tokenOf(state, step.index), ran };
  }

  #rejectionReason(message: OpenMessage): string | undefined {
    const { faults, holder, maxAttempts } = this.#options;
    if (faults.isLeaving) return "leaving";
    if (this.#open.size >= maxAttempts) return "overloaded";
    if (this.#open.has(message.request.attemptId)) return "duplicate-attempt";
    return holder.rejectionReason(message.request, message.stageIndex);
  }

  #stageError(error: string): StageError {
    return { error, target: this.#options.target };
  }
}

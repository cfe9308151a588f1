/**
 * A target of the model as it behaves: it reads one context after another,
 * which holds up the steps of what it writes, and refuses what its memory does
 * not hold.
 *
 * @module
 */

import type { PlanTarget } from "../../src/placement/types.ts";
import type { EngineProfile, Span } from "../../src/ports/types.ts";
import { STEPS_PER_PASS } from "../../test/users_site.ts";

/** Options of a target. */
export interface ModelTargetOptions {
  readonly plan: PlanTarget;
  readonly span: Span;
  readonly figures: EngineProfile;
  readonly prefillFactor: number;
}

/** One target. */
export class ModelTarget {
  readonly #options: ModelTargetOptions;
  readonly #capacityTokenLayers: number;
  #prefillUntilMs = 0;
  #usedTokenLayers = 0;
  #streams = 0;
  isLost = false;

  constructor(options: ModelTargetOptions) {
    this.#options = options;
    const { plan, span, figures } = options;
    const weightsMb = (span.to - span.from) * figures.layerMb;
    const bytesPerTokenLayer = figures.kvBytesPerToken / figures.layers;
    this.#capacityTokenLayers = (plan.memoryMb - weightsMb) * 1_000_000 /
      bytesPerTokenLayer;
  }

  get id(): string {
    return this.#options.plan.id;
  }

  get domain(): string {
    return this.#options.plan.domain;
  }

  /** False where memory does not hold it. */
  admit(tokenLayers: number): boolean {
    if (this.#usedTokenLayers + tokenLayers > this.#capacityTokenLayers) {
      return false;
    }
    this.#usedTokenLayers += tokenLayers;
    this.#streams++;
    return true;
  }

  release(tokenLayers: number): void {
    this.#usedTokenLayers -= tokenLayers;
    this.#streams--;
  }

  /** Reads a context from `fromMs` on; returns when it is done. */
  prefill(fromMs: number, tokens: number, layers: number): number {
    const { figures, prefillFactor } = this.#options;
    // Each pass reads one piece and takes the steps of those that write.
    const chunks = Math.ceil(tokens / figures.chunkTokens);
    const stepsMs = this.#streams > 1 ? STEPS_PER_PASS * this.#stepMs : 0;
    const tookMs = layers / figures.layers *
      (chunks * stepsMs + prefillFactor * tokens / figures.prefillTokensPerMs);
    this.#prefillUntilMs = Math.max(fromMs, this.#prefillUntilMs) + tookMs;
    return this.#prefillUntilMs;
  }

  /** Time of one token over some layers with the present load. */
  tokenMs(layers: number, nowMs: number): number {
    const { figures, prefillFactor } = this.#options;
    const chunkMs = prefillFactor * figures.chunkTokens /
      figures.prefillTokensPerMs;
    const prefillMs = this.#prefillUntilMs > nowMs
      ? chunkMs / STEPS_PER_PASS
      : 0;
    return (this.#stepMs + prefillMs) * layers / figures.layers;
  }

  /** Time of a step over all layers. */
  get #stepMs(): number {
    const { figures, plan } = this.#options;
    return plan.paceFactor *
      (figures.stepMs + figures.perSequenceMs * this.#streams);
  }
}

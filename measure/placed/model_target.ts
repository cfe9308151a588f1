/**
 * Simulates a target that holds a span of the model. It prefills one context
 * at a time, which slows down decoding, and rejects requests that do not fit
 * into its KV memory.
 *
 * @module
 */

import type { PlanTarget } from "../../src/placement/types.ts";
import type { EngineProfile, Span } from "../../src/ports/types.ts";
import { DECODE_STEPS_PER_PASS } from "../../test/reference_site.ts";

export interface ModelTargetOptions {
  readonly plan: PlanTarget;
  readonly span: Span;
  readonly figures: EngineProfile;
  readonly prefillFactor: number;
}

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

  /** Reserves KV memory; returns false if there is not enough. */
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

  /** Queues a prefill that starts at `fromMs` or later; returns when it ends. */
  prefill(fromMs: number, tokens: number, layers: number): number {
    const { figures, prefillFactor } = this.#options;
    // Each pass prefills one chunk and also runs steps of the decoding streams.
    const chunks = Math.ceil(tokens / figures.chunkTokens);
    const stepsMs = this.#streams > 1
      ? DECODE_STEPS_PER_PASS * this.#stepMs
      : 0;
    const tookMs = layers / figures.layers *
      (chunks * stepsMs + prefillFactor * tokens / figures.prefillTokensPerMs);
    this.#prefillUntilMs = Math.max(fromMs, this.#prefillUntilMs) + tookMs;
    return this.#prefillUntilMs;
  }

  /** Time of one token over `layers` layers under the current load. */
  tokenMs(layers: number, nowMs: number): number {
    const { figures, prefillFactor } = this.#options;
    const chunkMs = prefillFactor * figures.chunkTokens /
      figures.prefillTokensPerMs;
    const prefillMs = this.#prefillUntilMs > nowMs
      ? chunkMs / DECODE_STEPS_PER_PASS
      : 0;
    return (this.#stepMs + prefillMs) * layers / figures.layers;
  }

  /** Time of a decode step over all layers. */
  get #stepMs(): number {
    const { figures, plan } = this.#options;
    return plan.paceFactor *
      (figures.stepMs + figures.perSequenceMs * this.#streams);
  }
}

/**
 * A target of the model as it behaves: it reads one context after another,
 * which holds up the steps of what it writes, and refuses what its memory does
 * not hold.
 *
 * @module
 */

import type { PlanTarget } from "../../src/placement/types.ts";
import type { EngineProfile, Span } from "../../src/ports/types.ts";
import { DECODE_STEPS_PER_PASS } from "../../test/reference_site.ts";

/** Options of a target. */
export interface ModelTargetOptions {
  readonly plan: PlanTarget;
  readonly span: Span;
  readonly figures: EngineProfile;
  readonly readFactor: number;
}

/** One target. */
export class ModelTarget {
  readonly #options: ModelTargetOptions;
  readonly #capacity: number;
  #readUntilMs = 0;
  #used = 0;
  #streams = 0;
  isLost = false;

  constructor(options: ModelTargetOptions) {
    this.#options = options;
    const { plan, span, figures } = options;
    const weightsMb = (span.to - span.from) * figures.layerMb;
    const bytesPerTokenLayer = figures.kvBytesPerToken / figures.layers;
    this.#capacity = (plan.memoryMb - weightsMb) * 1_000_000 /
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
    if (this.#used + tokenLayers > this.#capacity) return false;
    this.#used += tokenLayers;
    this.#streams++;
    return true;
  }

  leave(tokenLayers: number): void {
    this.#used -= tokenLayers;
    this.#streams--;
  }

  /** Reads a context from `fromMs` on; returns when it is done. */
  read(fromMs: number, tokens: number, layers: number): number {
    const { figures, readFactor } = this.#options;
    // Each pass reads one piece and takes the steps of those that write.
    const pieces = Math.ceil(tokens / figures.chunkTokens);
    const stepsMs = this.#streams > 1
      ? DECODE_STEPS_PER_PASS * this.#stepMs
      : 0;
    const tookMs = layers / figures.layers *
      (pieces * stepsMs + readFactor * tokens / figures.prefillTokensPerMs);
    this.#readUntilMs = Math.max(fromMs, this.#readUntilMs) + tookMs;
    return this.#readUntilMs;
  }

  /** Time of one token over some layers with the present load. */
  tokenMs(layers: number, nowMs: number): number {
    const { figures, readFactor } = this.#options;
    const pieceMs = readFactor * figures.chunkTokens /
      figures.prefillTokensPerMs;
    const readMs = this.#readUntilMs > nowMs
      ? pieceMs / DECODE_STEPS_PER_PASS
      : 0;
    return (this.#stepMs + readMs) * layers / figures.layers;
  }

  /** Time of a step over all layers. */
  get #stepMs(): number {
    const { figures, plan } = this.#options;
    return plan.paceFactor *
      (figures.stepMs + figures.perSequenceMs * this.#streams);
  }
}

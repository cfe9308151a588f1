/**
 * Figures of a small model for tests: eight layers, and one kind of target.
 *
 * @module
 */

import type { EngineProfile } from "../src/ports/types.ts";

/** Figures with the kind `small`, whose targets have `memoryMb`. */
export function smallEngineProfile(memoryMb: number): EngineProfile {
  return {
    layers: 8,
    layerMb: 100,
    kvBytesPerToken: 80_000,
    slots: 64,
    stepMs: 1,
    perSequenceMs: 0,
    contextPerKiloTokenMs: 0,
    prefillTokensPerMs: 100,
    chunkTokens: 512,
    activationBytes: 0,
    domainLinkMbps: Infinity,
    loadMs: 1_000,
    maxConcurrentLoads: 5,
    typicalPromptTokens: 100,
    typicalAnswerTokens: 20,
    kinds: new Map([["small", {
      name: "small",
      memoryMb,
      decodeTimeFactor: 1,
      prefillTimeFactor: 1,
    }]]),
  };
}

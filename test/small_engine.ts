/**
 * Figures of a small model for tests: eight layers, and one kind of target.
 *
 * @module
 */

import type { EngineFigures } from "../src/ports/types.ts";

/** Figures with the kind `small`, whose targets have `memoryMb`. */
export function smallFigures(memoryMb: number): EngineFigures {
  return {
    layers: 8,
    layerMb: 100,
    kvBytesPerToken: 80_000,
    slots: 64,
    stepMs: 1,
    perSequenceMs: 0,
    contextPerKiloTokenMs: 0,
    readTokensPerMs: 100,
    chunkTokens: 512,
    activationBytes: 0,
    domainPipeMbps: Infinity,
    loadMs: 1_000,
    loadsAtOnce: 5,
    usualPromptTokens: 100,
    usualAnswerTokens: 20,
    kinds: new Map([["small", {
      name: "small",
      memoryMb,
      paceFactor: 1,
      readFactor: 1,
    }]]),
  };
}

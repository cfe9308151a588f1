/**
 * A reference deployment in the form that operators publish: three kinds of
 * accelerators in three failure domains, and the model's performance profile.
 *
 * @module
 */

import type { PlanTarget } from "../src/placement/types.ts";
import type { EngineProfile } from "../src/ports/types.ts";

const KINDS = [
  {
    name: "large",
    memoryMb: 72_000,
    decodeTimeFactor: 2.4,
    prefillTimeFactor: 3.2,
  },
  {
    name: "middle",
    memoryMb: 43_200,
    decodeTimeFactor: 5.6,
    prefillTimeFactor: 2.7,
  },
  {
    name: "small",
    memoryMb: 21_600,
    decodeTimeFactor: 16,
    prefillTimeFactor: 8.2,
  },
  // Of the deployments of docs/hard-load.md; the reference site has none of them.
  {
    name: "v100",
    memoryMb: 14_400,
    decodeTimeFactor: 5.3,
    prefillTimeFactor: 7.9,
  },
  {
    name: "l40s",
    memoryMb: 43_000,
    decodeTimeFactor: 5.6,
    prefillTimeFactor: 2.7,
  },
];

/** Decode steps in each pass of a target. */
export const DECODE_STEPS_PER_PASS = 5;

export const SITE_PROFILE: EngineProfile = {
  layers: 80,
  layerMb: 1_750,
  kvBytesPerToken: 1_315_343,
  slots: 134,
  stepMs: 1.02,
  perSequenceMs: 0.01,
  contextPerKiloTokenMs: 0.0137,
  prefillTokensPerMs: 105,
  chunkTokens: 512,
  activationBytes: 65_767,
  domainLinkMbps: 26_000,
  loadMs: 14_000,
  maxConcurrentLoads: 5,
  typicalPromptTokens: 774,
  typicalAnswerTokens: 200,
  kinds: new Map(KINDS.map((kind) => [kind.name, kind])),
};

/** Targets per failure domain, in the order of `KINDS`. */
const TARGET_COUNTS = { north: [1, 3, 8], middle: [1, 6, 5], south: [2, 2, 5] };

/**
 * Targets without a span; `counts` gives the number of each kind per domain.
 */
export function siteTargets(
  counts: Readonly<Record<string, readonly number[]>> = TARGET_COUNTS,
): PlanTarget[] {
  return Object.entries(counts).flatMap(([domain, perKind]) =>
    perKind.flatMap((count, kind) =>
      Array.from({ length: count }, (_, index) => ({
        id: `${domain}-${KINDS[kind].name}-${index}`,
        domain,
        memoryMb: KINDS[kind].memoryMb,
        paceFactor: KINDS[kind].decodeTimeFactor,
        span: undefined,
        canAcceptOrder: true,
      }))
    )
  );
}

export const SITE_DOMAINS = Object.keys(TARGET_COUNTS);

/** Name of the kind whose memory size the target has. */
export function kindOf({ memoryMb }: PlanTarget): string {
  return KINDS.find((kind) => kind.memoryMb === memoryMb)?.name ?? "";
}

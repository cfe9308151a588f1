/**
 * A site as the users publish theirs: kinds of accelerators in three failure
 * domains, and the figures of the model.
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
];

/** Steps of those that write, in each pass of a target. */
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

/** Targets of each kind in each failure domain. */
const TARGET_COUNTS = { north: [1, 3, 8], middle: [1, 6, 5], south: [2, 2, 5] };

/** Empty targets, as many of each kind in each domain as `counts` says. */
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

/** Domains of the site. */
export const SITE_DOMAINS = Object.keys(TARGET_COUNTS);

/** Name of a target's kind. */
export function kindOf({ memoryMb }: PlanTarget): string {
  return KINDS.find((kind) => kind.memoryMb === memoryMb)?.name ?? "";
}

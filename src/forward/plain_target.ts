/**
 * Chooses the target of a plain call: the one with the least expected time,
 * where failures count as time. Pure.
 *
 * @module
 */

import type { Target } from "../paths/target.ts";

/** Assumed before the first answer of a target. */
const INITIAL_ESTIMATE_MS = 25;
/** Time that a target in another failure domain adds. */
const CROSS_DOMAIN_PENALTY_MS = 1.5;
/** Expected time grows this many times when every request fails. */
const FAILURE_PENALTY_FACTOR = 40;
/** Part of the expected time that is random, so that hosts differ. */
const JITTER_FRACTION = 0.2;

/** Options of a choice. */
export interface PlainTargetOptions {
  readonly targets: readonly Target[];
  /** Targets that had their try. */
  readonly tried: ReadonlySet<string>;
  readonly domain: string;
  readonly random: () => number;
}

/** Undefined where every open target had its try. */
export function pickPlainTarget(
  options: PlainTargetOptions,
): Target | undefined {
  const open = options.targets.filter((target) =>
    target.isReady && !options.tried.has(target.id)
  );
  const trusted = open.filter((target) => target.isAvailable);
  const candidates = trusted.length > 0 ? trusted : open;
  let best: Target | undefined;
  let bestMs = Infinity;
  for (const target of candidates) {
    const costMs = expectedMs(target, options);
    if (costMs < bestMs) {
      best = target;
      bestMs = costMs;
    }
  }
  return best;
}

function expectedMs(
  target: Target,
  { domain, random }: PlainTargetOptions,
): number {
  const inUse = target.ownLoad.streams + target.peerLoad.streams;
  const runMs = (target.meanDurationMs || INITIAL_ESTIMATE_MS) *
    (1 + inUse / 3);
  const crossDomainMs = target.record.domain === domain
    ? 0
    : CROSS_DOMAIN_PENALTY_MS;
  return (runMs + crossDomainMs) *
    (1 + target.failureRate * FAILURE_PENALTY_FACTOR) *
    (1 + random() * JITTER_FRACTION);
}

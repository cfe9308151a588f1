/**
 * Selects the target of a plain call: the one with the lowest expected time,
 * which grows with the target's share of failures. Pure.
 *
 * @module
 */

import type { Target } from "../paths/target.ts";

/** Assumed duration before the first response of a target. */
const INITIAL_ESTIMATE_MS = 25;
/** Added for a target in another failure domain. */
const CROSS_DOMAIN_PENALTY_MS = 1.5;
/** Weight of the share of failures in the expected time. */
const FAILURE_PENALTY_FACTOR = 40;
/** Random share of the expected time, so that hosts select different targets. */
const JITTER_FRACTION = 0.2;

export interface PlainTargetOptions {
  readonly targets: readonly Target[];
  /** Ids of targets that were sent this call already. */
  readonly tried: ReadonlySet<string>;
  readonly domain: string;
  /** Whether the target is to be used next whatever its expected time. */
  readonly isPreferred?: (target: Target) => boolean;
  readonly random: () => number;
}

/** Returns undefined if every open target has been tried. */
export function pickPlainTarget(
  options: PlainTargetOptions,
): Target | undefined {
  const open = options.targets.filter((target) =>
    target.isReady && !options.tried.has(target.id)
  );
  const trusted = open.filter((target) => target.isAvailable);
  const preferred = trusted.filter((target) => options.isPreferred?.(target));
  const candidates =
    [preferred, trusted, open].find(({ length }) => length > 0) ?? [];
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

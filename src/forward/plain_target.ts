/**
 * Chooses the target of a plain call: the one with the least expected time,
 * where failures count as time. Pure.
 *
 * @module
 */

import type { Target } from "../paths/target.ts";

/** Assumed before the first answer of a target. */
const FIRST_GUESS_MS = 25;
/** Time that a target in another failure domain adds. */
const FAR_MS = 1.5;
/** Expected time grows this many times when every request fails. */
const FAILURE_WEIGHT = 40;
/** Part of the expected time that is random, so that hosts differ. */
const NOISE_SHARE = 0.2;

/** Options of a choice. */
export interface PlainChoice {
  readonly targets: readonly Target[];
  /** Targets that had their try. */
  readonly tried: ReadonlySet<string>;
  readonly domain: string;
  readonly random: () => number;
}

/** Undefined where every open target had its try. */
export function pickPlainTarget(choice: PlainChoice): Target | undefined {
  const open = choice.targets.filter((target) =>
    target.isReady && !choice.tried.has(target.id)
  );
  const trusted = open.filter((target) => target.isAvailable);
  const candidates = trusted.length > 0 ? trusted : open;
  let best: Target | undefined;
  let bestMs = Infinity;
  for (const target of candidates) {
    const costMs = expectedMs(target, choice);
    if (costMs < bestMs) {
      best = target;
      bestMs = costMs;
    }
  }
  return best;
}

function expectedMs(target: Target, { domain, random }: PlainChoice): number {
  const inUse = target.ownLoad.streams + target.peerLoad.streams;
  const runMs = (target.meanDurationMs || FIRST_GUESS_MS) * (1 + inUse / 3);
  const farMs = target.record.domain === domain ? 0 : FAR_MS;
  return (runMs + farMs) * (1 + target.failureRate * FAILURE_WEIGHT) *
    (1 + random() * NOISE_SHARE);
}

/**
 * Costs of targets for a path search, by the estimated times or, while other
 * hosts report no prefill work, by the expected time per token.
 *
 * @module
 */

import type { Random } from "../common/random.ts";
import type { EngineProfile, Span } from "../ports/types.ts";
import type { PathCandidate } from "./path_finder.ts";
import type { Target } from "./target.ts";
import {
  expectedLayerMs,
  FAILURE_WEIGHT,
  fullnessFactor,
} from "./target_cost.ts";
import { targetTimes, type TimedRequest } from "./target_times.ts";

/**
 * Tokens over which a one-time delay is amortized, about half an answer, where
 * prefill work is not reported.
 */
export const AMORTIZATION_TOKENS = 100;
/**
 * Relative random noise on costs without reports, so that hosts don't all choose
 * the same path at once. Above `COST_NOISE_BASE_HOSTS` it grows with the number
 * of hosts, since their knowledge of each other then covers less of the load.
 */
const COST_NOISE_SHARE = 1;
const COST_NOISE_BASE_HOSTS = 9;

/** Costs of a target, in milliseconds per token. */
export type TargetCosts = Required<
  Pick<PathCandidate, "msPerLayer" | "entryMs">
>;

export type CostsOf = (target: Target, span: Span) => TargetCosts;

/** Costs by the estimated times to the first event and per token. */
export function estimatedCosts(
  request: TimedRequest,
  random: Random,
): CostsOf {
  const { figures, spread } = request;
  const { noise, amortizationTokens, fullnessWeight } = spread;
  return (target) => {
    const times = targetTimes(target, request);
    const risk = (1 + target.failureRate * FAILURE_WEIGHT) *
      fullnessFactor(target, figures, fullnessWeight);
    return {
      msPerLayer: (times.tokenLayerMs * risk +
        times.prefillLayerMs / amortizationTokens) * (1 + random() * noise),
      entryMs: times.backlogMs / amortizationTokens,
    };
  };
}

/** Costs by the expected time per token, without reports of prefill work. */
export function expectedCosts(
  figures: EngineProfile,
  { hosts, random }: { readonly hosts: number; readonly random: Random },
): CostsOf {
  const noise = COST_NOISE_SHARE * Math.max(1, hosts / COST_NOISE_BASE_HOSTS);
  return (target, { from, to }) => ({
    msPerLayer: expectedLayerMs(target, figures) * (1 + random() * noise) +
      target.prefillBacklog.remainingMs / AMORTIZATION_TOKENS / (to - from),
    entryMs: 0,
  });
}

/**
 * Why a target takes no new request now.
 *
 * @module
 */

import type { EngineProfile } from "../ports/types.ts";
import type { Target } from "./target.ts";
import { freeTokenLayers } from "./target_cost.ts";
import type { TargetLimits } from "./target_limits.ts";

export type Exclusion =
  | "not-ready"
  | "unresponsive"
  | "suspected"
  | "avoided"
  | "paused"
  | "full";

export interface ExclusionDemand {
  readonly figures: EngineProfile;
  /** Number of tokens for which the target must have memory. */
  readonly tokens: number;
  /** Limits that targets name; undefined for none. */
  readonly limits: Pick<TargetLimits, "pausedForMs"> | undefined;
}

/** Returns undefined if the target, or its span of layers, takes the request. */
export function exclusionOf(
  target: Target,
  { tokens, figures, limits }: ExclusionDemand,
): Exclusion | undefined {
  if (!target.isReady) return "not-ready";
  if (target.noResponseSinceMs !== undefined) return "unresponsive";
  if (!target.isResponsive) return "suspected";
  if (!target.isAvailable) return "avoided";
  if ((limits?.pausedForMs(target.id) ?? 0) > 0) return "paused";
  const { from, to } = target.span ?? { from: 0, to: 0 };
  const needed = tokens * (to - from);
  return freeTokenLayers(target, figures) < needed ? "full" : undefined;
}

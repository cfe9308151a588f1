/**
 * The types that the plan of spans shares with what feeds it.
 *
 * @module
 */

import type { EngineProfile, Span } from "../ports/types.ts";

/** A target as the plan sees it. */
export interface PlanTarget {
  readonly id: string;
  readonly domain: string;
  readonly memoryMb: number;
  /** Factor on the time of a step. */
  readonly paceFactor: number;
  /** Undefined: holds nothing. */
  readonly span: Span | undefined;
  /** May be ordered now: it answers, and no order is in progress. */
  readonly canAcceptOrder: boolean;
}

/** A span that a target should take. */
export interface PlannedOrder {
  readonly targetId: string;
  readonly span: Span;
}

/** Options of a plan. */
export interface PlacementOptions {
  readonly figures: EngineProfile;
  readonly targets: readonly PlanTarget[];
}

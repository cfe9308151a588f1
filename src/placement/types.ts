/**
 * Input and output of the placement plan.
 *
 * @module
 */

import type { EngineProfile, Span } from "../ports/types.ts";

export interface PlanTarget {
  readonly id: string;
  readonly domain: string;
  readonly memoryMb: number;
  /** Step time relative to the nominal time; smaller is faster. */
  readonly paceFactor: number;
  /** Undefined if the target holds no layers. */
  readonly span: Span | undefined;
  /** Whether the target responds and has no order in progress. */
  readonly canAcceptOrder: boolean;
}

/** An order to a target to hold a span. */
export interface PlannedOrder {
  readonly targetId: string;
  readonly span: Span;
}

export interface PlacementOptions {
  readonly figures: EngineProfile;
  readonly targets: readonly PlanTarget[];
}

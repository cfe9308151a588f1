/**
 * Inputs and outcomes of a day played on a placed model.
 *
 * @module
 */

import type { WaitQueue } from "../../src/admission/wait_queue.ts";
import type { PathChooser } from "../../src/paths/path_chooser.ts";
import type { TargetTable } from "../../src/paths/target_table.ts";
import type { PlannedOrder, PlanTarget } from "../../src/placement/types.ts";
import type { EngineProfile, PathStage } from "../../src/ports/types.ts";

/** A plan of spans for empty targets. */
export type Planner = (
  figures: EngineProfile,
  targets: readonly PlanTarget[],
) => PlannedOrder[];

/** How requests without room wait. */
export type QueueWay = "ranked" | "first-come" | "none";

/** How hosts choose paths. */
export type PathWay = "cost" | "round-robin" | "random";

/** What callers send and what goes wrong. */
export interface DayLoad {
  readonly name: string;
  readonly requestsPerS: number;
  /** Factor on the rate, and from when to when. */
  readonly burst?: {
    readonly factor: number;
    readonly fromMs: number;
    readonly toMs: number;
  };
  /** Targets that are lost, and when. */
  readonly lost?: { readonly atMs: number; readonly ids: readonly string[] };
}

/** Options of a day. */
export interface DayOptions {
  readonly seed: number;
  readonly figures: EngineProfile;
  readonly targets: readonly PlanTarget[];
  readonly planner: Planner;
  readonly pathWay: PathWay;
  readonly queueWay: QueueWay;
  readonly load: DayLoad;
  readonly hosts: number;
  readonly durationMs: number;
}

/** One request of the day. */
export interface DayRequest {
  readonly customer: string;
  readonly kind: string;
  readonly rank: number;
  readonly startMs: number;
  readonly promptTokens: number;
  readonly answerTokens: number;
  /** Targets that refused it for lack of memory. */
  readonly refusedBy: Set<string>;
  sends: number;
  /** What the caller expects. */
  readonly likelyTokens: number;
  end: "in-time" | "late" | "refused" | undefined;
  firstMs: number | undefined;
}

/** What callers got. */
export interface DayOutcome {
  readonly requests: readonly DayRequest[];
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  /** Shares in time of the customer, kind and two seconds that got least. */
  readonly worstCustomer: number;
  readonly worstKind: number;
  readonly worstWindow: number;
  readonly firstP50Ms: number;
  readonly firstP95Ms: number;
  /** Share in time of each two seconds, in order. */
  readonly windows: readonly number[];
}

/** A host of the day. */
export interface DayHost {
  readonly book: TargetTable;
  readonly chooser: PathChooser;
  readonly queue: WaitQueue;
}

/** A stream that runs. */
export interface RunningStream {
  readonly request: DayRequest;
  readonly host: DayHost;
  stages: readonly PathStage[];
  release: () => void;
  isLate: boolean;
  isOver: boolean;
}

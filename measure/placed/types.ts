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
export type QueuePolicy = "ranked" | "first-come" | "none";

/** How hosts choose paths. */
export type PathPolicy = "cost" | "round-robin" | "random";

/** What callers send and what goes wrong. */
export interface LoadProfile {
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
export interface SimulationOptions {
  readonly seed: number;
  readonly figures: EngineProfile;
  readonly targets: readonly PlanTarget[];
  readonly planner: Planner;
  readonly pathPolicy: PathPolicy;
  readonly queuePolicy: QueuePolicy;
  readonly load: LoadProfile;
  readonly hosts: number;
  readonly durationMs: number;
}

/** One request of the day. */
export interface SimulatedRequest {
  readonly customer: string;
  readonly kind: string;
  readonly rank: number;
  readonly startMs: number;
  readonly promptTokens: number;
  readonly answerTokens: number;
  /** Targets that refused it for lack of memory. */
  readonly rejectedBy: Set<string>;
  sends: number;
  /** What the caller expects. */
  readonly expectedTokens: number;
  end: "in-time" | "late" | "refused" | undefined;
  firstEventMs: number | undefined;
}

/** What callers got. */
export interface SimulationOutcome {
  readonly requests: readonly SimulatedRequest[];
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
export interface SimulatedHost {
  readonly targetTable: TargetTable;
  readonly chooser: PathChooser;
  readonly queue: WaitQueue;
}

/** A stream that runs. */
export interface RunningStream {
  readonly request: SimulatedRequest;
  readonly host: SimulatedHost;
  stages: readonly PathStage[];
  release: () => void;
  isLate: boolean;
  isFinished: boolean;
}

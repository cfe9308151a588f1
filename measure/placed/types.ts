/**
 * Inputs and outcomes of a load simulation on a placed model.
 *
 * @module
 */

import type { WaitQueue } from "../../src/admission/wait_queue.ts";
import type { ChoiceSpread } from "../../src/paths/choice_spread.ts";
import type { PathChooser } from "../../src/paths/path_chooser.ts";
import type { TargetTable } from "../../src/paths/target_table.ts";
import type { PlannedOrder, PlanTarget } from "../../src/placement/types.ts";
import type { EngineProfile, PathStage } from "../../src/ports/types.ts";

/** Plans spans for targets that hold no layers yet. */
export type Planner = (
  figures: EngineProfile,
  targets: readonly PlanTarget[],
) => PlannedOrder[];

/** Order in which requests wait for capacity; `none` rejects them at once. */
export type QueuePolicy = "ranked" | "first-come" | "none";

/** How hosts select paths; all but `cost` are baselines. */
export type PathPolicy =
  | "cost"
  | "round-robin"
  | "random"
  | "least-loaded"
  | "two-choices"
  | "by-speed";

/** What hosts know of each other's load, and how old it is. */
export interface LoadInfo {
  readonly intervalMs: number;
  /** Each host's view is delayed by a fixed time between these. */
  readonly minDelayMs: number;
  readonly maxDelayMs: number;
  /** Whether hosts report the prefill work that they have in progress. */
  readonly hasPrefillReports: boolean;
}

export interface LoadProfile {
  readonly name: string;
  readonly requestsPerS: number;
  /** Multiplies the request rate from `fromMs` to `toMs`. */
  readonly burst?: {
    readonly factor: number;
    readonly fromMs: number;
    readonly toMs: number;
  };
  /** Targets that fail at `atMs`. */
  readonly lost?: { readonly atMs: number; readonly ids: readonly string[] };
}

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
  /** By default that of a small fleet: every 250 ms, without delay. */
  readonly loadInfo?: LoadInfo;
  /** Replaces parts of the product's way to spread choices. */
  readonly spread?: Partial<ChoiceSpread>;
  /** Longest time that a request waits for capacity; by default the product's. */
  readonly maxWaitMs?: number;
}

export interface SimulatedRequest {
  readonly customer: string;
  readonly kind: string;
  readonly rank: number;
  readonly startMs: number;
  readonly promptTokens: number;
  readonly answerTokens: number;
  /** Targets that rejected the request for lack of memory. */
  readonly rejectedBy: Set<string>;
  sends: number;
  /** Answer length that the caller estimates. */
  readonly expectedTokens: number;
  end: "in-time" | "late" | "refused" | undefined;
  firstEventMs: number | undefined;
  /** Estimated and observed time from the send to the first event. */
  estimate: { estimatedMs: number; observedMs: number } | undefined;
}

/** Shares of all requests, and times to the first event. */
export interface SimulationOutcome {
  readonly requests: readonly SimulatedRequest[];
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  /** Lowest share in time over all customers, kinds and 2 s windows. */
  readonly worstCustomer: number;
  readonly worstKind: number;
  readonly worstWindow: number;
  readonly firstP50Ms: number;
  readonly firstP95Ms: number;
  /** Median of the estimate's error relative to the observed time. */
  readonly estimateErrorP50: number;
  /** Requests of the busiest first target relative to the mean of all used ones. */
  readonly busiestFirst: number;
  /** Share in time of each 2 s window, in order. */
  readonly windows: readonly number[];
}

export interface SimulatedHost {
  readonly targetTable: TargetTable;
  readonly chooser: PathChooser;
  readonly queue: WaitQueue;
}

export interface RunningStream {
  readonly request: SimulatedRequest;
  readonly host: SimulatedHost;
  stages: readonly PathStage[];
  release: () => void;
  isLate: boolean;
  isFinished: boolean;
}

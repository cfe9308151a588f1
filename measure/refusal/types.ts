/**
 * Inputs and outcomes of a load of mixed ranks, sizes and deadlines on the wait
 * queues of several hosts.
 *
 * @module
 */

/** `cost` is the product's queue; the others are baselines. */
export type QueueOrder = "cost" | "rank" | "first-come";

export interface QueueLoad {
  readonly seed: number;
  readonly order: QueueOrder;
  readonly hosts: number;
  readonly requestsPerS: number;
  /** Offered load without a burst, relative to the capacity. */
  readonly utilization: number;
  /** Multiplies the rate of one rank for some time. */
  readonly bursts: readonly {
    readonly rank: number;
    readonly factor: number;
    readonly fromMs: number;
    readonly toMs: number;
  }[];
  readonly durationMs: number;
  /** Share of refused callers that ignore `Retry-After`. */
  readonly hastyShare?: number;
  /** Multiplies the time from a start to the first event. */
  readonly firstEventFactor?: number;
}

export interface LoadRequest {
  readonly id: number;
  readonly rank: number;
  readonly customer: number;
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly goalMs: number;
  readonly patienceMs: number;
  /** Time after its first arrival. */
  readonly deadlineMs: number;
  readonly firstMs: number;
  readonly isHasty: boolean;
  /** Relative to the mean of its kind. */
  readonly relativeSize: number;
  attempts: number;
  end: "in-time" | "late" | "refused" | "left";
}

export interface LoadOutcome {
  readonly requests: readonly LoadRequest[];
  /** Mean value of a request to its caller; 1 if all are served in time. */
  readonly value: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  readonly left: number;
  /** Lowest value of a request over the seconds, kinds and customers. */
  readonly worstSecond: number;
  readonly worstKind: number;
  readonly worstCustomer: number;
  /** Lowest share served of a kind's largest tenth, relative to the kind's. */
  readonly largestTenth: number;
  /** Share served and in time, by rank. */
  readonly servedByRank: readonly number[];
  readonly inTimeByRank: readonly number[];
  /** Retries that arrived in the busiest half second. */
  readonly peakReturns: number;
}

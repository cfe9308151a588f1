/**
 * What the calls of one host share.
 *
 * @module
 */

import type { ServiceRetryBudget } from "../admission/service_retry_budget.ts";
import type { WaitQueue } from "../admission/wait_queue.ts";
import type { Clock } from "../common/clock.ts";
import type { IMetrics } from "../common/bucket_metrics.ts";
import type { ILog } from "../common/logging.ts";
import type { PathChooser } from "../paths/path_chooser.ts";
import type { StageChecker } from "../paths/stage_checker.ts";
import type { TargetTable } from "../paths/target_table.ts";
import type { IHeaderCodec, ITargetControl } from "../ports/services.ts";
import type { Customer, Route, Service } from "../ports/types.ts";
import type { StreamMonitor } from "./stream_monitor.ts";
import type { UpstreamAgent } from "./upstream_agent.ts";

/** Collaborators of every call. */
export interface CallContext {
  readonly clock: Clock;
  readonly log: ILog;
  readonly metrics: IMetrics;
  readonly targets: TargetTable;
  readonly chooser: PathChooser;
  readonly control: ITargetControl;
  readonly checker: StageChecker;
  readonly codec: IHeaderCodec;
  readonly agent: UpstreamAgent;
  readonly monitor: StreamMonitor;
  readonly domain: string;
  readonly random: () => number;
  readonly budgetOf: (service: string) => ServiceRetryBudget;
  readonly queueOf: (service: string) => WaitQueue;
}

/** Where a request goes, as the configuration in force says. */
export interface CallPlan {
  readonly route: Route;
  readonly service: Service;
  readonly customer: Customer | undefined;
  readonly requestId: string;
  /** The request is given up at this time. */
  readonly deadlineMs: number;
  /** 0 goes first. */
  readonly rank: number;
}

/** Retry times are spread by this factor, so that those refused don't return together. */
const RETRY_JITTER_FRACTION = 0.5;

/** A time to come back, spread around an estimate. */
export function jitterRetryMs(
  estimateMs: number,
  random: () => number,
): number {
  return estimateMs *
    (1 - RETRY_JITTER_FRACTION / 2 + random() * RETRY_JITTER_FRACTION);
}

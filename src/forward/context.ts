/**
 * Dependencies and parameters of the calls that a host serves.
 *
 * @module
 */

import type { ContentQuarantine } from "../admission/content_quarantine.ts";
import type { ServiceRetryBudget } from "../admission/service_retry_budget.ts";
import type { StopAdmission } from "../admission/stop_admission.ts";
import type { WaitQueue } from "../admission/wait_queue.ts";
import type { Clock } from "../common/clock.ts";
import type { IMetrics } from "../common/bucket_metrics.ts";
import type { ILog } from "../common/logging.ts";
import type { PathChooser } from "../paths/path_chooser.ts";
import type { StageChecker } from "../paths/stage_checker.ts";
import type { TargetLimits } from "../paths/target_limits.ts";
import type { TargetReachability } from "../paths/target_reachability.ts";
import type { TargetTable } from "../paths/target_table.ts";
import type { IHeaderCodec, ITargetControl } from "../ports/services.ts";
import type { Customer, Route, Service } from "../ports/types.ts";
import type { LossDetector } from "./loss_detector.ts";
import type { DelegateChooser } from "./delegate_chooser.ts";
import type { StreamMonitor } from "./stream_monitor.ts";
import type { KeepAliveAgent } from "../common/keep_alive_agent.ts";

/** Dependencies that all calls of a host share. */
export interface CallContext {
  readonly clock: Clock;
  readonly log: ILog;
  readonly metrics: IMetrics;
  readonly targets: TargetTable;
  readonly limits: TargetLimits;
  readonly chooser: PathChooser;
  readonly control: ITargetControl;
  readonly checker: StageChecker;
  readonly reachability: TargetReachability;
  readonly delegates: DelegateChooser;
  readonly codec: IHeaderCodec;
  readonly agent: KeepAliveAgent;
  /** Connections to other hosts. */
  readonly hostAgent: KeepAliveAgent;
  readonly lossDetector: LossDetector;
  readonly quarantine: ContentQuarantine;
  readonly monitor: StreamMonitor;
  /** Which requests may start while the host stops. */
  readonly stopAdmission: StopAdmission;
  readonly domain: string;
  /** Local address of connections to targets; by default, the system's choice. */
  readonly outgoingIp?: string;
  readonly random: () => number;
  readonly budgetOf: (service: string) => ServiceRetryBudget;
  readonly queueOf: (service: string) => WaitQueue;
}

/** How one request is served, according to the configuration in force. */
export interface CallPlan {
  readonly route: Route;
  readonly service: Service;
  readonly customer: Customer | undefined;
  readonly requestId: string;
  /** Equal for requests with the same content, see `content_id.ts`. */
  readonly contentId: string;
  /** Parts of the prompt that other requests may share. */
  readonly sharedPromptParts: readonly string[];
  readonly configVersion: number;
  /** Whether another host, which reaches no target, passed the request on. */
  readonly isDelegated: boolean;
  /** Time on the host's clock at which the request times out. */
  readonly deadlineMs: number;
  /** Position in the wait queue; lower ranks are served first. */
  readonly rank: number;
}

/** Acquires a retry from the service's budget, and counts the outcome. */
export function tryAcquireRetry(
  { budgetOf, metrics }: Pick<CallContext, "budgetOf" | "metrics">,
  service: string,
): boolean {
  const isGranted = budgetOf(service).tryAcquire();
  const name = isGranted
    ? "jackdawshift_repeats_granted_total"
    : "jackdawshift_repeats_denied_total";
  metrics.count(name, { service });
  return isGranted;
}

/** Width of the jitter on retry times, so that refused callers don't retry at once. */
const RETRY_JITTER_FRACTION = 0.5;

/** Spreads the callers of a held content, which all come back after its hold. */
const HOLD_JITTER_MS = 500;

/** Retry time while this host shuts down; another host serves the retry. */
const STOPPING_RETRY_MS = 20;
export const STOPPING_REASON = "host is shutting down";

/** Retry time of a request that has not run since this host shuts down. */
export function stoppingRetryMs(random: () => number): number {
  return jitterRetryMs(STOPPING_RETRY_MS, random);
}

/** Adds jitter to the time for which a content is held. */
export function jitterHoldMs(forMs: number, random: () => number): number {
  return forMs + random() * HOLD_JITTER_MS;
}

/** Counts a request in the budget of retries, at the host that received it. */
export function recordRequest(
  { budgetOf }: Pick<CallContext, "budgetOf">,
  { service, isDelegated }: Pick<CallPlan, "service" | "isDelegated">,
): void {
  if (!isDelegated) budgetOf(service.name).recordRequest();
}

/** Adds jitter to an estimated retry time. */
export function jitterRetryMs(
  estimateMs: number,
  random: () => number,
): number {
  return estimateMs *
    (1 - RETRY_JITTER_FRACTION / 2 + random() * RETRY_JITTER_FRACTION);
}

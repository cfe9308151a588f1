/**
 * The retry budget and the wait queue of each service at one host, created when
 * the service is first used.
 *
 * @module
 */

import {
  type RetryLimits,
  ServiceRetryBudget,
} from "../admission/service_retry_budget.ts";
import { WaitQueue, type WaitQueueOptions } from "../admission/wait_queue.ts";
import type { Clock } from "../common/clock.ts";
import type { HostBounds, HostSettings } from "../ports/types.ts";

/** Requests of a service that may wait for a path; a stream uses about 100 KB. */
const MAX_QUEUED_REQUESTS = 400;
/** Allowance for unknown hosts, which may be starting or partitioned. */
const UNDISCOVERED_HOSTS = 4;
/** Ticks after which waiting requests are tried although nothing has changed. */
const IDLE_DISPATCH_TICKS = 4;
/** Minimum number of hosts among which the retry slack is divided. */
const MIN_HOSTS = 12;

/** The part of the fleet's admission level that concerns one service. */
export type ServiceAdmission = Pick<
  WaitQueueOptions,
  "mayStart" | "fleetWaitMs" | "observer"
>;

export interface ServiceLimitsOptions {
  readonly clock: Clock;
  readonly settings: Pick<HostSettings, "bounds" | "isFirstStart">;
  /** Number of other hosts that are known, live or not. */
  readonly knownHosts: () => number;
  /** By default, each host admits requests by its own view alone. */
  readonly admission?: (service: string) => ServiceAdmission;
  readonly random?: () => number;
}

export class ServiceLimits {
  readonly #options: ServiceLimitsOptions;
  readonly #budgets = new Map<string, ServiceRetryBudget>();
  readonly #queues = new Map<string, WaitQueue>();
  readonly #slackFromMs: number;
  #bounds: HostBounds;
  #ticksSinceDispatch = 0;
  #isDispatchDue = false;

  constructor(options: ServiceLimitsOptions) {
    this.#options = options;
    this.#bounds = options.settings.bounds;
    const { clock, settings: { bounds, isFirstStart } } = options;
    this.#slackFromMs = isFirstStart
      ? -Infinity
      : clock.nowMs() + bounds.retryWindowMs;
  }

  budgetOf(service: string): ServiceRetryBudget {
    let budget = this.#budgets.get(service);
    if (budget === undefined) {
      const { clock, knownHosts } = this.#options;
      budget = new ServiceRetryBudget({
        clock,
        windowMs: this.#bounds.retryWindowMs,
        ...retryLimits(this.#bounds),
        slackFromMs: this.#slackFromMs,
        hostLimit: () =>
          Math.max(MIN_HOSTS, knownHosts() + 1 + UNDISCOVERED_HOSTS),
      });
      this.#budgets.set(service, budget);
    }
    return budget;
  }

  /** Uses changed retry limits from the next retry on. */
  applyBounds(bounds: HostBounds): void {
    this.#bounds = bounds;
    for (const budget of this.#budgets.values()) {
      budget.setLimits(retryLimits(bounds));
    }
  }

  queueOf(service: string): WaitQueue {
    let queue = this.#queues.get(service);
    if (queue === undefined) {
      const { clock, admission, random } = this.#options;
      queue = new WaitQueue({
        clock,
        maxWaiting: MAX_QUEUED_REQUESTS,
        random,
        ...admission?.(service),
      });
      this.#queues.set(service, queue);
    }
    return queue;
  }

  /** Called when a waiting request may have a path with capacity. */
  scheduleDispatch(): void {
    this.#isDispatchDue = true;
  }

  /**
   * Lets waiting requests start after changes since the last tick. Many changes
   * come at once when targets are lost, and each try searches for a path.
   */
  tick(): void {
    this.#ticksSinceDispatch++;
    const isDue = this.#isDispatchDue ||
      this.#ticksSinceDispatch >= IDLE_DISPATCH_TICKS;
    for (const queue of this.#queues.values()) {
      if (isDue) queue.dispatch();
      else queue.expire();
    }
    if (!isDue) return;
    this.#isDispatchDue = false;
    this.#ticksSinceDispatch = 0;
  }
}

function retryLimits({ retryRatio, retrySlack }: HostBounds): RetryLimits {
  return { ratio: retryRatio, slack: retrySlack };
}

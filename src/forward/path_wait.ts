/**
 * Waits in the queue of a service until a path has capacity for a request.
 *
 * @module
 */

import type { Waiter } from "../admission/wait_queue.ts";
import type { PathDemand, ReservedPath } from "../paths/path_chooser.ts";
import type { CallContext } from "./context.ts";

/**
 * Longest wait for capacity. Callers abandon a stream that sends no event for
 * two seconds, and the first event takes up to half a second.
 */
const MAX_WAIT_MS = 1_200;

export interface PathWaitOptions {
  readonly context: CallContext;
  readonly demand: PathDemand;
  readonly rank: number;
  readonly deadlineMs: number;
  /** Aborts when the caller disconnects or the request times out. */
  readonly signal: AbortSignal;
}

/**
 * Resolves with undefined on a time-out, a full queue, an abort of `signal`, or
 * if this host is found to be cut off from all targets.
 */
export function waitForPath(
  options: PathWaitOptions,
): Promise<ReservedPath | undefined> {
  const { context, demand, signal } = options;
  const queue = context.queueOf(demand.service);
  if (signal.aborted) return Promise.resolve(undefined);
  return new Promise((resolve) => {
    const waiter: Waiter = {
      rank: options.rank,
      untilMs: Math.min(
        context.clock.nowMs() + MAX_WAIT_MS,
        options.deadlineMs,
      ),
      tryStart: () => {
        const path = context.chooser.choose(demand);
        if (path === undefined) return false;
        finish(path);
        return true;
      },
      refuse: () => finish(undefined),
    };
    function finish(path: ReservedPath | undefined): void {
      signal.removeEventListener("abort", onAbort);
      subscription.dispose();
      resolve(path);
    }
    function onAbort(): void {
      queue.remove(waiter);
      finish(undefined);
    }
    signal.addEventListener("abort", onAbort, { once: true });
    const subscription = context.reachability.onChange((change) => {
      if (change.isCutOff && change.service === demand.service) onAbort();
    });
    queue.add(waiter);
  });
}

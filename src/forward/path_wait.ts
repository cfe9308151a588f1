/**
 * Waits until a path has room for a request, in the queue of its service.
 *
 * @module
 */

import type { Waiter } from "../admission/wait_queue.ts";
import type { PathDemand, ReservedPath } from "../paths/path_chooser.ts";
import type { CallContext } from "./context.ts";

/**
 * Longest wait for room. Callers leave a stream without an event after two
 * seconds, and the first event takes up to half a second.
 */
const MAX_WAIT_MS = 1_200;

/** Options of a wait. */
export interface PathWaitOptions {
  readonly context: CallContext;
  readonly demand: PathDemand;
  readonly rank: number;
  readonly deadlineMs: number;
  /** Aborts when the caller leaves. */
  readonly signal: AbortSignal;
}

/** Undefined where none had room in time or the caller left. */
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
        signal.removeEventListener("abort", onAbort);
        resolve(path);
        return true;
      },
      refuse: () => {
        signal.removeEventListener("abort", onAbort);
        resolve(undefined);
      },
    };
    function onAbort(): void {
      queue.remove(waiter);
      resolve(undefined);
    }
    signal.addEventListener("abort", onAbort, { once: true });
    queue.add(waiter);
  });
}

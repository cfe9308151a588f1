/**
 * Repeats an operation whose failure may pass until it succeeds or a deadline
 * is reached.
 *
 * @module
 */

import type { Clock } from "./clock.ts";

export interface RetryUntilOptions<T> {
  readonly clock: Clock;
  /** Monotonic time after which a failure is final. */
  readonly deadlineMs: number;
  readonly intervalMs: number;
  readonly attempt: () => T | Promise<T>;
  /** Whether the operation may succeed later; otherwise the error is final. */
  readonly isTransient: (error: unknown) => boolean;
  /** Called for the first of several equal failures in a row. */
  readonly onFailure?: (error: unknown) => void;
}

/** Rejects with the last error. */
export async function retryUntil<T>(options: RetryUntilOptions<T>): Promise<T> {
  const { clock, deadlineMs, intervalMs, attempt, isTransient } = options;
  let lastFailure: string | undefined;
  while (true) {
    try {
      return await attempt();
    } catch (error) {
      if (!isTransient(error) || clock.nowMs() >= deadlineMs) throw error;
      if (String(error) !== lastFailure) options.onFailure?.(error);
      lastFailure = String(error);
    }
    await clock.sleep(intervalMs);
  }
}

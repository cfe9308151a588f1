/**
 * Clock abstraction. Classes take a `Clock` instead of reading the system
 * clock, so that tests can control time.
 *
 * @module
 */

export interface Clock {
  /** Monotonic time in milliseconds since an arbitrary origin; used for deadlines. */
  nowMs(): number;
  /** Milliseconds since the Unix epoch, for records that other hosts read. */
  wallMs(): number;
  /** Resolves after `waitMs`, or early and without an error when `signal` aborts. */
  sleep(waitMs: number, signal?: AbortSignal): Promise<void>;
}

export const systemClock: Clock = {
  nowMs: () => performance.now(),
  wallMs: () => Date.now(),
  sleep: sleepOnTimer,
};

/** Largest delay of `setTimeout`; a larger one fires immediately. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** The delay of a timer for a wait of any length: after 24 days it fires early. */
export function timerDelayMs(waitMs: number): number {
  return Math.min(MAX_TIMER_MS, Math.max(0, waitMs));
}

async function sleepOnTimer(
  waitMs: number,
  signal?: AbortSignal,
): Promise<void> {
  let remainingMs = waitMs;
  while (remainingMs > MAX_TIMER_MS && !signal?.aborted) {
    await waitOnTimer(MAX_TIMER_MS, signal);
    remainingMs -= MAX_TIMER_MS;
  }
  await waitOnTimer(remainingMs, signal);
}

function waitOnTimer(waitMs: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) return resolve();
    const timer = setTimeout(finish, timerDelayMs(waitMs));
    signal?.addEventListener("abort", finish, { once: true });
    function finish(): void {
      clearTimeout(timer);
      signal?.removeEventListener("abort", finish);
      resolve();
    }
  });
}

/**
 * Time as the rest of the program sees it. A class never reads the system
 * clock itself: it is given a `Clock`, so that a test drives it by hand.
 *
 * @module
 */

/** Reads time and waits. Both readings are in milliseconds. */
export interface Clock {
  /** Monotonic time since an arbitrary origin; the base of every deadline. */
  nowMs(): number;
  /** Wall-clock time since the Unix epoch, for records that other hosts read. */
  wallMs(): number;
  /** Waits; resolves early, without an error, when `signal` aborts. */
  sleep(waitMs: number, signal?: AbortSignal): Promise<void>;
}

/** The clock of the operating system. */
export const systemClock: Clock = {
  nowMs: () => performance.now(),
  wallMs: () => Date.now(),
  sleep: sleepOnTimer,
};

/** Longest wait that one timer holds; a longer one would end at once. */
const MAX_TIMER_MS = 2 ** 31 - 1;

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
    const timer = setTimeout(finish, Math.max(0, waitMs));
    signal?.addEventListener("abort", finish, { once: true });
    function finish(): void {
      clearTimeout(timer);
      signal?.removeEventListener("abort", finish);
      resolve();
    }
  });
}

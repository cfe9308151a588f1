/**
 * The planned stop of a host: requests are accepted while they can end in time,
 * and those in progress end within the grace period.
 *
 * @module
 */

import type { StopAdmission } from "../admission/stop_admission.ts";
import type { Clock } from "../common/clock.ts";
import type { ILog } from "../common/logging.ts";
import type { RequestHandler } from "../forward/request_handler.ts";

/** Longest wait for the responses of cancelled requests. */
const CANCEL_TIMEOUT_MS = 100;
/** Interval for checking whether requests are still in progress. */
const POLL_INTERVAL_MS = 50;
const CANCEL_POLL_INTERVAL_MS = 5;

export interface HostDrainOptions {
  readonly clock: Clock;
  readonly log: ILog;
  /** Time from the start of the stop until the host would be killed. */
  readonly graceMs: number;
  readonly admission: Pick<StopAdmission, "begin">;
  readonly requests: Pick<RequestHandler, "active" | "cancelActive">;
}

/** Resolves when the host may exit. */
export async function drainHost(options: HostDrainOptions): Promise<void> {
  const { clock, log, graceMs, admission, requests } = options;
  const startedMs = clock.nowMs();
  const { idleExitMs, cancelMs } = admission.begin(graceMs);
  log.info("host stopping", { active: requests.active, graceMs });
  await clock.sleep(idleExitMs - startedMs);
  const waitUntil = async (
    endMs: number,
    intervalMs: number,
  ): Promise<void> => {
    while (clock.nowMs() < endMs && requests.active > 0) {
      await clock.sleep(Math.min(intervalMs, endMs - clock.nowMs()));
    }
  };
  await waitUntil(cancelMs, POLL_INTERVAL_MS);
  const cancelled = requests.active;
  requests.cancelActive();
  await waitUntil(cancelMs + CANCEL_TIMEOUT_MS, CANCEL_POLL_INTERVAL_MS);
  log.info("host stopped", {
    active: requests.active,
    cancelled,
    durationMs: Math.round(clock.nowMs() - startedMs),
  });
}

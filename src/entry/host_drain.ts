/**
 * The planned stop of a host: requests are accepted for a while, then rejected,
 * and those in progress end within the grace period.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { ILog } from "../common/logging.ts";

/**
 * A stopping host accepts requests for this long: a stream takes some seconds,
 * and the load balancer reacts within two.
 */
const STOP_LINGER_MS = 2_600;
/** Then requests on kept-alive connections are rejected for this long. */
const STOP_REFUSE_MS = 1_000;
/** A stopping host exits this long before it would be killed. */
const STOP_MARGIN_MS = 900;
/** Interval for checking whether requests are still in progress. */
const STOP_POLL_INTERVAL_MS = 50;

export interface HostDrainOptions {
  readonly clock: Clock;
  readonly log: ILog;
  /** Time from the start of the stop until the host would be killed. */
  readonly graceMs: number;
  readonly activeRequests: () => number;
  /** Called when new requests are to be rejected from now on. */
  readonly rejectNew: () => void;
}

/** Resolves when the host may exit. */
export async function drainHost(options: HostDrainOptions): Promise<void> {
  const { clock, log, graceMs, activeRequests, rejectNew } = options;
  const startedMs = clock.nowMs();
  const endMs = startedMs + Math.max(0, graceMs - STOP_MARGIN_MS);
  log.info("host stopping", { active: activeRequests() });
  await clock.sleep(Math.min(STOP_LINGER_MS, endMs - startedMs));
  rejectNew();
  await clock.sleep(Math.min(STOP_REFUSE_MS, endMs - clock.nowMs()));
  while (clock.nowMs() < endMs && activeRequests() > 0) {
    await clock.sleep(STOP_POLL_INTERVAL_MS);
  }
  log.info("host stopped", {
    active: activeRequests(),
    durationMs: Math.round(clock.nowMs() - startedMs),
  });
}

/**
 * How often hosts send their states.
 *
 * @module
 */

/** Time between broadcasts, up to `SEND_SCALING_HOSTS` hosts. */
const SEND_INTERVAL_MS = 250;
/**
 * Above this count the interval grows with the number of hosts, which keeps the
 * traffic of a link constant.
 */
const SEND_SCALING_HOSTS = 24;
/**
 * Maximum time between broadcasts; a host from which none arrived for 1.5 s
 * counts as down.
 */
const MAX_SEND_INTERVAL_MS = 600;

/** Time between two periodic broadcasts of a host. */
export function sendIntervalMs(hostCount: number): number {
  const scale = hostCount / SEND_SCALING_HOSTS;
  return Math.min(
    MAX_SEND_INTERVAL_MS,
    SEND_INTERVAL_MS * Math.max(1, scale),
  );
}

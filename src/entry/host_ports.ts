/**
 * Opens the ports of a host at its start. A port may still be held by the
 * process before, or by a short connection, so the host waits for it, uses
 * another one where it may choose, and serves without the metrics endpoint.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { ILog } from "../common/logging.ts";
import { retryUntil } from "../common/retry_until.ts";
import type { PeerLink } from "../peers/peer_link.ts";
import type { HostSettings } from "../ports/types.ts";
import type { HostListeners } from "./host_listeners.ts";

/** How long the start waits for a port that is in use. */
const PORT_WAIT_MS = 5_000;
const PORT_RETRY_INTERVAL_MS = 100;
/** Interval at which the metrics port is tried while the host serves without it. */
const METRICS_RETRY_INTERVAL_MS = 5_000;
/** Errors that pass when another process closes a port or an address is added. */
const TRANSIENT_CODES = ["EADDRINUSE", "EADDRNOTAVAIL"];

export interface HostPortsOptions {
  readonly settings: Pick<HostSettings, "peerPorts">;
  readonly link: Pick<PeerLink, "open" | "dispose" | "host">;
  readonly listeners: Pick<HostListeners, "open" | "openDelegation">;
  readonly clock: Clock;
  readonly log: ILog;
}

/**
 * Opens all ports but that of the metrics. Rejects if one of them stays in use
 * or cannot be opened.
 */
export async function openHostPorts(options: HostPortsOptions): Promise<void> {
  const { listeners, clock, log } = options;
  const deadlineMs = clock.nowMs() + PORT_WAIT_MS;
  const open = (port: string, attempt: () => Promise<void>): Promise<void> =>
    retryUntil({
      clock,
      deadlineMs,
      intervalMs: PORT_RETRY_INTERVAL_MS,
      attempt,
      isTransient: isTransientPortError,
      onFailure: (error) =>
        log.warn("waiting for a port in use", { port, reason: String(error) }),
    });
  await open("peers", () => openPeerPort(options));
  await open("frontend", () => listeners.open("frontend"));
  await open("readiness", () => listeners.open("readiness"));
}

/** Binds the first free port of the range, over UDP and TCP. */
async function openPeerPort(options: HostPortsOptions): Promise<void> {
  const { link, listeners, log, settings: { peerPorts } } = options;
  const { first, last } = peerPorts;
  let failure: unknown;
  for (let port = first; port <= last; port++) {
    try {
      await link.open(port);
      await listeners.openDelegation(link.host.port);
      if (failure !== undefined) {
        log.warn("peer port in use, using another one of the range", {
          first,
          port,
          reason: String(failure),
        });
      }
      return;
    } catch (error) {
      link.dispose();
      if (!isTransientPortError(error)) throw error;
      failure ??= error;
    }
  }
  throw failure;
}

/**
 * Opens the metrics port, which the host can serve without. Resolves when it is
 * open or `signal` aborts.
 */
export async function openMetricsPort(
  { listeners, clock, log }: HostPortsOptions,
  signal: AbortSignal,
): Promise<void> {
  let lastFailure: string | undefined;
  while (!signal.aborted) {
    try {
      await listeners.open("metrics");
      if (lastFailure !== undefined) log.info("metrics port opened");
      return;
    } catch (error) {
      const reason = String(error);
      if (reason !== lastFailure) {
        log.warn("metrics port not opened; serving without metrics", {
          reason,
        });
      }
      lastFailure = reason;
    }
    await clock.sleep(METRICS_RETRY_INTERVAL_MS, signal);
  }
}

function isTransientPortError(error: unknown): boolean {
  const { code = "" } = error as NodeJS.ErrnoException;
  return TRANSIENT_CODES.includes(code);
}

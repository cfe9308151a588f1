/**
 * Injects the scheduled faults of hosts: signals to their processes.
 *
 * @module
 */

import { constants } from "node:os";
import type { HostProcess } from "./host_process.ts";
import { handlesSignal } from "./process_samples.ts";
import type { Fault, History } from "./types.ts";

/** Resolves with when the host was not itself, once the fault has ended. */
export async function injectHostFault(
  host: HostProcess,
  { kind, endMs }: Fault,
  waitUntil: (atMs: number) => Promise<void>,
): Promise<History["hostFaults"]> {
  const startMs = performance.now();
  if (kind === "host-reload") {
    host.signal("SIGHUP");
    return [];
  }
  if (kind === "host-clock-jump") {
    // It would end a process that has not loaded the handler of the soak yet.
    const hasHandler = host.pid !== undefined &&
      handlesSignal(host.pid, constants.signals.SIGUSR2);
    if (!hasHandler) return [];
    host.signal("SIGUSR2");
  } else if (kind === "host-pause") {
    host.signal("SIGSTOP");
    await waitUntil(endMs);
    host.signal("SIGCONT");
  } else {
    if (kind === "host-kill") host.signal("SIGKILL");
    await host.stop();
    await waitUntil(endMs);
    if (!host.isRunning) host.start();
  }
  return [{ host: host.name, startMs, endMs: performance.now() }];
}

/**
 * Starts the hosts of a run, each as a process of its own.
 *
 * @module
 */

import { hostIp } from "../standins/loopback_address.ts";
import { HostProcess } from "./host_process.ts";
import {
  DOMAINS,
  HOST_BOUNDS,
  HOST_COUNT,
  HOST_RESTART_MS,
} from "./settings.ts";

export interface HostsOptions {
  /** Directory for the settings and the logs. */
  readonly folder: string;
  readonly storeAddress: string;
  /** Entry point of another build, which half of the hosts run. */
  readonly otherProgram?: string;
}

export function startHosts(
  { folder, storeAddress, otherProgram }: HostsOptions,
): HostProcess[] {
  return Array.from({ length: HOST_COUNT }, (_, i) => {
    const host = new HostProcess({
      name: `host-${i}`,
      domain: DOMAINS[i % DOMAINS.length],
      ip: hostIp(i + 1),
      storeAddress,
      folder,
      bounds: HOST_BOUNDS,
      restartMs: HOST_RESTART_MS,
    });
    if (i % 2 === 0) host.program = otherProgram;
    host.start();
    return host;
  });
}

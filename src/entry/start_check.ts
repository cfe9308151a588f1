/**
 * Checks whether a host could start here: whether its ports are free, and
 * whether the process may open enough files. Opens each port for a moment.
 *
 * @module
 */

import { createSocket } from "node:dgram";
import { createServer } from "node:net";
import type { Endpoint, HostSettings } from "../ports/types.ts";

/** Files and sockets that a host has open before its first caller. */
const MIN_DESCRIPTORS = 256;

export interface StartCheckOptions {
  readonly settings: HostSettings;
  /** Maximum number of open files of a process. */
  readonly maxDescriptors: number;
}

/** Returns one message for each fault; a host may wait for some of them to pass. */
export async function checkStart(
  { settings, maxDescriptors }: StartCheckOptions,
): Promise<string[]> {
  const { ip, frontend, readiness, metrics, peerPorts } = settings;
  const faults: string[] = [];
  if (maxDescriptors < MIN_DESCRIPTORS) {
    faults.push(
      `open files: limited to ${maxDescriptors}, must be at least ${MIN_DESCRIPTORS}`,
    );
  }
  for (
    const [name, endpoint] of Object.entries({ frontend, readiness, metrics })
  ) {
    const reason = await tcpFault(endpoint);
    if (reason !== undefined) faults.push(`${name}: ${reason}`);
  }
  let reason: string | undefined;
  for (let port = peerPorts.first; port <= peerPorts.last; port++) {
    const fault = await udpFault({ ip, port }) ?? await tcpFault({ ip, port });
    if (fault === undefined) return faults;
    reason ??= fault;
  }
  return [...faults, `port-range: no port is free over UDP and TCP: ${reason}`];
}

/** Returns why the endpoint cannot be opened. */
function tcpFault({ ip, port }: Endpoint): Promise<string | undefined> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once("error", (error) => resolve(error.message));
    server.listen(port, ip, () => server.close(() => resolve(undefined)));
  });
}

function udpFault({ ip, port }: Endpoint): Promise<string | undefined> {
  const socket = createSocket("udp4");
  return new Promise((resolve) => {
    socket.once("error", (error) => socket.close(() => resolve(error.message)));
    socket.bind(port, ip, () => socket.close(() => resolve(undefined)));
  });
}

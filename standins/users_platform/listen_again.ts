/**
 * Lets a server listen on the port that it had before.
 *
 * @module
 */

import type { Server } from "node:net";
import { SERVER_IP } from "../loopback_address.ts";

const RETRY_INTERVAL_MS = 50;

/**
 * Retries while the port is in use: an outgoing connection of another process
 * may hold it for a while.
 */
export function listenAgain(server: Server, port: number): void {
  const retry = (error: NodeJS.ErrnoException): void => {
    if (error.code !== "EADDRINUSE") throw error;
    setTimeout(() => listenAgain(server, port), RETRY_INTERVAL_MS).unref();
  };
  server.once("error", retry);
  server.listen(port, SERVER_IP, () => server.off("error", retry));
}

/**
 * What a stand-in server records of the requests that it received.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";

export interface ReceivedRequest {
  readonly method: string;
  readonly url: string;
  readonly headers: IncomingMessage["headers"];
  readonly body: string;
}

/** A request that the server started to execute. */
export interface StartedExecution {
  readonly requestId: string;
  /** Id of the server at that time. */
  readonly serverId: string;
  /** Time on the monotonic clock of the process. */
  readonly atMs: number;
}

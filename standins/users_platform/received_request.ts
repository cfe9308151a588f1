/**
 * What a stand-in server records of the requests that it received.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";

export interface ReceivedRequest {
  readonly method: string;
  readonly url: string;
  readonly headers: IncomingMessage["headers"];
  readonly body: string;
}

/** A request, query or order, and the address from which it came. */
export interface Arrival {
  readonly from: string;
  /** Start of the process at which it arrived. */
  readonly bornMs: number;
  readonly atMs: number;
}

/** A rejection that names a time to retry. */
export interface NamedPause extends Arrival {
  readonly endMs: number;
}

/** A request that the server started to execute. */
export interface StartedExecution {
  readonly requestId: string;
  /** Id of the server at that time. */
  readonly serverId: string;
  /** Time on the monotonic clock of the process. */
  readonly atMs: number;
}

/** A stream that has not ended. */
export interface RunningStream {
  readonly response: ServerResponse;
  readonly requestId: string;
  /** The event instead of which the server ends. */
  readonly crashAt: number;
  path: string;
  next: number;
  isStalled: boolean;
}

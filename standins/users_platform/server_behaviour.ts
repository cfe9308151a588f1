/**
 * How a stand-in server behaves, as tests set it at any time, and what it records
 * of the calls that it received.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type {
  Arrival,
  NamedPause,
  ReceivedRequest,
  StartedExecution,
} from "./received_request.ts";
import type { ServerMode } from "./server_mode.ts";

export class ServerBehaviour {
  mode: ServerMode = "good";
  /** Events before a stream fails in mode `stall`, `cut`, `reset` or `intrude`. */
  stallAfterEvents = 2;
  /** Stage that stops in mode `stall`; reports name it for stalled streams. */
  stalledStageAddress = "";
  /** A request whose body contains this ends the server that executes it. */
  crashingText: string | undefined;
  /** A request with this part in its prompt ends it before the first event. */
  crashingPromptPart: string | undefined;
  /**
   * Numbers of events after which such a stream ends the server, in turn; empty
   * if it ends the server before the response.
   */
  crashAfterEvents: readonly number[] = [];
  /** Time from the receipt of such a request to the end of the server. */
  crashDelayMs = 0;
  /** Number of requests to reject before `mode` applies again. */
  rejectNextCount = 0;
  /** Pause after the third event of a stream. */
  pauseMs = 0;
  /** Time from the receipt of a plain call to its answer. */
  answerDelayMs = 0;
  /** Factor on the gaps between the events of its streams. */
  slowness = 1;
  /** Address that a rejection names in `at-server`; empty for this server. */
  rejectingAddress = "";
  /** Requests a second that its responses name as its limit; undefined for none. */
  limitPerS: number | undefined;
  /** Whether its streams have neither length nor chunks. */
  streamsUnframed = false;
  /** Whether all its responses say that it leaves. */
  isLeaving = false;
  /** Whether mode `shed` also rejects queries and orders. */
  rejectsQueries = false;
  /** Time to retry that its rejections name; undefined for none. */
  retryAfterS: number | undefined;
  span: { from: number; to: number } | undefined;
  seq = 0;
  /** Times of all requests, queries and orders on the process's clock. */
  readonly arrivedAtMs: number[] = [];
  readonly arrivals: Arrival[] = [];
  readonly namedPauses: NamedPause[] = [];
  readonly receivedRequests: ReceivedRequest[] = [];
  readonly executions: StartedExecution[] = [];
  readonly orders: Record<string, unknown>[] = [];
  /** Answers a request instead of `mode`; returns false to leave it to `mode`. */
  respond: ((request: IncomingMessage) => boolean) | undefined;
  /** Requests and orders that were refused with 400, each with its fault. */
  readonly invalidCalls: string[] = [];
  /** Number of requests whose connection closed before the answer was complete. */
  cancelled = 0;
}

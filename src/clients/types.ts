/**
 * Messages exchanged with the platform and with targets. All times that cross
 * the network are wall-clock deadlines in milliseconds since the Unix epoch.
 *
 * @module
 */

/** One record to append. The writer chooses `id`, so that it can find it again. */
export interface LogEntry {
  readonly id: string;
  /** JSON value; readers check its shape. */
  readonly data: unknown;
}

/** A record as read back, with its place in the stream. */
export interface LogRecord extends LogEntry {
  readonly offset: number;
  readonly atWallMs: number;
}

/** A run of records. Records before `firstOffset` have passed out of retention. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  readonly firstOffset: number;
  /** The offset that the next record appended to the stream will take. */
  readonly nextOffset: number;
}

/** How long a call may take; `deadlineMs` is on the caller's monotonic clock. */
export interface CallOptions {
  readonly deadlineMs: number;
  readonly signal?: AbortSignal;
}

/** One machine on the platform's list. The list lags behind the truth. */
export interface ListedHost {
  readonly name: string;
  readonly url: string;
  readonly failureDomain: string;
  readonly region: string;
  readonly role: "entry" | "target";
  readonly state: "live" | "leaving";
}

/** A contiguous range of layers, `first` included and `end` excluded. */
export interface LayerSpan {
  readonly first: number;
  readonly end: number;
}

/** One stage of a chain, as planned. `generation` changes when the engine reloads. */
export interface ChainStage extends LayerSpan {
  readonly target: string;
  readonly url: string;
  readonly generation: number;
}

/** Asks the first engine of a chain to generate through all of it. */
export interface GenerateRequest {
  readonly attemptId: string;
  readonly requestId: string;
  readonly model: string;
  readonly version: string;
  readonly adapter?: string;
  readonly chain: readonly ChainStage[];
  readonly prompt: string;
  /** Identifiers of tokens that the caller already has; generation goes on after them. */
  readonly generated: readonly number[];
  /** Length of the whole answer in tokens, those in `generated` included. */
  readonly maxTokens: number;
  readonly priority: number;
  readonly deadlineWallMs: number;
  /** Prefix caches are shared only between requests of one scope. */
  readonly cacheScope: string;
}

/** One token, with the stages that ran it as `chainSignature` writes them. */
export interface EngineToken {
  readonly attemptId: string;
  /** Position in the whole answer, from 0. */
  readonly index: number;
  readonly id: number;
  readonly text: string;
  readonly ran: string;
}

/** The explicit end of a generation. */
export interface EngineEnd {
  readonly attemptId: string;
  readonly tokenCount: number;
  readonly reason: "stop" | "length";
  /** The first engine's load when it ended, so that reports cost no message. */
  readonly load?: EngineLoad;
}

/** Work at an engine, as it reported it; always some time old. */
export interface EngineLoad {
  readonly running: number;
  readonly queued: number;
  readonly asOfWallMs: number;
}

/** What an engine publishes about itself. */
export interface EngineState extends LayerSpan {
  readonly target: string;
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly role: "both" | "prefill" | "decode";
  /** Grows by one each time what is loaded changes. */
  readonly generation: number;
  /** Fencing number of the last order accepted. */
  readonly fence: number;
  readonly leaving: boolean;
  readonly loading: boolean;
  readonly load: EngineLoad;
}

/** An absolute order: the state the engine is to reach. Sending it twice is harmless. */
export interface EngineOrder extends LayerSpan {
  readonly orderId: string;
  readonly fence: number;
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly role: "both" | "prefill" | "decode";
}

/** One call to a plain service. */
export interface ServiceRequest {
  readonly attemptId: string;
  /** Names the caller's request in the target's own logs. */
  readonly requestId: string;
  readonly method: string;
  /** Path at the target, with a leading slash. */
  readonly path: string;
  readonly contentType?: string;
  readonly body: Uint8Array;
  readonly idempotencyKey?: string;
}

/** A plain service's whole answer. */
export interface ServiceResponse {
  readonly status: number;
  readonly contentType?: string;
  readonly body: Uint8Array;
}

/** Writes the stages that run a token the way engines report them, in order. */
export function chainSignature(
  chain: readonly Pick<ChainStage, "target" | "first" | "end" | "generation">[],
): string {
  return chain.map((stage) =>
    `${stage.target}:${stage.first}-${stage.end}@${stage.generation}`
  )
    .join(",");
}

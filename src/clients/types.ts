/**
 * Messages exchanged with the platform and with targets. All times sent over the
 * network are wall-clock times in milliseconds since the Unix epoch.
 *
 * @module
 */

/** A record to append. The writer assigns `id`, so that it can find the record again. */
export interface LogEntry {
  readonly id: string;
  /** JSON value; readers validate it. */
  readonly data: unknown;
}

/** A record read from the log, with its offset in the stream. */
export interface LogRecord extends LogEntry {
  readonly offset: number;
  readonly atWallMs: number;
}

/** Contiguous records. Records before `firstOffset` have expired. */
export interface LogPage {
  readonly records: readonly LogRecord[];
  readonly firstOffset: number;
  /** The offset of the next record to be appended to the stream. */
  readonly nextOffset: number;
}

/** `deadlineMs` is a time on the caller's monotonic clock. */
export interface CallOptions {
  readonly deadlineMs: number;
  readonly signal?: AbortSignal;
}

/** An entry of the platform's host list, which may be out of date. */
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

/** A planned stage of a chain. `generation` changes when the engine reloads. */
export interface ChainStage extends LayerSpan {
  readonly target: string;
  readonly url: string;
  readonly generation: number;
}

/** Request to the first engine of a chain to generate through all its stages. */
export interface GenerateRequest {
  readonly attemptId: string;
  readonly requestId: string;
  readonly model: string;
  readonly version: string;
  readonly adapter?: string;
  readonly chain: readonly ChainStage[];
  readonly prompt: string;
  /** Identifiers of the tokens that the caller already has; generation continues after them. */
  readonly generated: readonly number[];
  /** Maximum length of the complete answer in tokens, including `generated`. */
  readonly maxTokens: number;
  readonly priority: number;
  readonly deadlineWallMs: number;
  /** Prefix caches are shared only between requests with the same scope. */
  readonly cacheScope: string;
}

/** A token, with the stages that ran it in the format of `chainSignature`. */
export interface EngineToken {
  readonly attemptId: string;
  /** Position in the complete answer, from 0. */
  readonly index: number;
  readonly id: number;
  readonly text: string;
  readonly ran: string;
}

/** The explicit end event of a generation. */
export interface EngineEnd {
  readonly attemptId: string;
  readonly tokenCount: number;
  readonly reason: "stop" | "length";
  /** Load of the first engine at the end; saves a separate report. */
  readonly load?: EngineLoad;
}

/** Load reported by an engine at `asOfWallMs`. */
export interface EngineLoad {
  readonly running: number;
  readonly queued: number;
  readonly asOfWallMs: number;
}

export interface EngineState extends LayerSpan {
  readonly target: string;
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly role: "both" | "prefill" | "decode";
  /** Incremented each time what is loaded changes. */
  readonly generation: number;
  /** Fencing token of the last accepted order. */
  readonly fence: number;
  readonly leaving: boolean;
  readonly loading: boolean;
  readonly load: EngineLoad;
}

/** An order with the absolute state that the engine is to reach; idempotent. */
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
  /** Identifier of the caller's request, for the target's logs. */
  readonly requestId: string;
  readonly method: string;
  /** Path at the target, with a leading slash. */
  readonly path: string;
  readonly contentType?: string;
  readonly body: Uint8Array;
  readonly idempotencyKey?: string;
}

export interface ServiceResponse {
  readonly status: number;
  readonly contentType?: string;
  readonly body: Uint8Array;
}

/** Formats the stages that run a token, in order, as engines report them. */
export function chainSignature(
  chain: readonly Pick<ChainStage, "target" | "first" | "end" | "generation">[],
): string {
  return chain.map((stage) =>
    `${stage.target}:${stage.first}-${stage.end}@${stage.generation}`
  )
    .join(",");
}

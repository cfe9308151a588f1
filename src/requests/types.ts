/**
 * Requests after authentication and parsing.
 *
 * @module
 */

export interface CompletionRequest {
  readonly requestId: string;
  readonly customer: string;
  readonly pipeline: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
}

/** A token sent to the caller; `index` is its position in the answer. */
export interface AnswerToken {
  readonly index: number;
  readonly id: number;
  readonly text: string;
}

/** Receives tokens in order of index, each index exactly once. */
export type AnswerListener = (tokens: readonly AnswerToken[]) => void;

/** End of a complete answer. */
export interface CompletionEnd {
  readonly tokenCount: number;
  readonly reason: "stop" | "length";
  /** Attempts used, 1 if none failed. */
  readonly attemptCount: number;
}

export interface CallRequest {
  readonly requestId: string;
  readonly customer: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly contentType?: string;
  readonly body: Uint8Array;
  readonly idempotencyKey?: string;
  /** False if the call must run at most once. */
  readonly idempotent: boolean;
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
}

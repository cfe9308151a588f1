/**
 * Requests as the dispatchers see them, past authentication and parsing.
 *
 * @module
 */

/** A completion through a pipeline. */
export interface CompletionRequest {
  readonly requestId: string;
  readonly customer: string;
  readonly pipeline: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
}

/** One token released to the caller. */
export interface AnswerToken {
  readonly index: number;
  readonly id: number;
  readonly text: string;
}

/** Receives released tokens in order, each index once. */
export type AnswerListener = (tokens: readonly AnswerToken[]) => void;

/** The end of a whole answer. */
export interface CompletionEnd {
  readonly tokenCount: number;
  readonly reason: "stop" | "length";
  /** Number of attempts, 1 when nothing failed. */
  readonly attemptCount: number;
}

/** A call to a plain service. */
export interface CallRequest {
  readonly requestId: string;
  readonly customer: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly contentType?: string;
  readonly body: Uint8Array;
  readonly idempotencyKey?: string;
  /** False for a call that must run at most once. */
  readonly idempotent: boolean;
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
}

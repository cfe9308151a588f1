/**
 * Messages between the engine stand-ins of a chain.
 *
 * @module
 */

import type { GenerateRequest } from "../../src/clients/types.ts";

/** Opens an attempt at one stage, which in turn opens it at the next. */
export interface OpenMessage {
  readonly request: GenerateRequest;
  readonly stageIndex: number;
}

/** Computes one token; each stage updates `state` and `ran`. */
export interface StageStep {
  readonly attemptId: string;
  readonly index: number;
  readonly state: number;
  /** Signature of the stages that have run the step so far. */
  readonly ran: string;
}

/** Result of the last stage. */
export interface StageToken {
  readonly id: number;
  readonly text: string;
  readonly ran: string;
}

/** Error of one stage, with the target that failed. */
export interface StageError {
  readonly error: string;
  readonly target: string;
}

export type StageResult = StageToken | StageError;

export function isStageError<T>(result: T | StageError): result is StageError {
  return typeof result === "object" && result !== null && "error" in result;
}

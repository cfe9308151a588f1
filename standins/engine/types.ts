/**
 * Messages between the engine stand-ins of a chain.
 *
 * @module
 */

import type { GenerateRequest } from "../../src/clients/types.ts";

/** Opens an attempt at one stage, which opens it at the next. */
export interface OpenMessage {
  readonly request: GenerateRequest;
  readonly stageIndex: number;
}

/** One token's way through one stage. */
export interface StageStep {
  readonly attemptId: string;
  readonly index: number;
  readonly state: number;
  /** The stages that ran it so far. */
  readonly ran: string;
}

/** What came back from the last stage. */
export interface StageToken {
  readonly id: number;
  readonly text: string;
  readonly ran: string;
}

/** Why a stage did not do its part. */
export interface StageError {
  readonly error: string;
  readonly target: string;
}

export type StageResult = StageToken | StageError;

/** True when a stage failed. */
export function isStageError<T>(result: T | StageError): result is StageError {
  return typeof result === "object" && result !== null && "error" in result;
}

/**
 * Services that carry requests to targets.
 *
 * @module
 */

import type { ServiceIdentifier } from "inversify";
import type { Disposable } from "../common/lifecycle.ts";
import type { Outcome } from "../common/verdict.ts";
import type { ChainStage, ServiceAnswer } from "../clients/types.ts";
import type {
  AnswerListener,
  CallRequest,
  CompletionEnd,
  CompletionRequest,
} from "./types.ts";

/** Serves completions, resuming an answer whose chain was lost. */
export interface ICompletionService {
  complete(
    request: CompletionRequest,
    onTokens: AnswerListener,
  ): Promise<Outcome<CompletionEnd>>;
}
export const ICompletionService: ServiceIdentifier<ICompletionService> = Symbol
  .for(
    "CompletionService",
  );

/** Serves calls to plain services. */
export interface ICallService {
  call(request: CallRequest): Promise<Outcome<ServiceAnswer>>;
}
export const ICallService: ServiceIdentifier<ICallService> = Symbol.for(
  "CallService",
);

/** Claims on requests that must run at most once. */
export interface IClaimService {
  /**
   * Resolves with a claim that is first in the log's order for its key, or with
   * a failure: `not-run` when this try will never run, `may-have-run` when an
   * earlier try of the key ran or may have.
   */
  acquire(
    key: ClaimKey,
    options: { deadlineMs: number; signal?: AbortSignal },
  ): Promise<Outcome<IClaim>>;
}
export const IClaimService: ServiceIdentifier<IClaimService> = Symbol.for(
  "ClaimService",
);

/** What a claim protects: one key of one customer at one service. */
export interface ClaimKey {
  readonly customer: string;
  readonly service: string;
  readonly idempotencyKey: string;
}

/** A claim held by this host. Exactly one of its methods is called, once. */
export interface IClaim {
  readonly claimId: string;
  /** True while the holder may still send the request. */
  mayDispatch(): boolean;
  /** Gives the key back. Only while no byte of the request has left. */
  release(): void;
  /** Notes how the request ended, so that a duplicate can be told. */
  settle(result: "ran" | "may-have-run"): void;
}

/** Remembers content that crashed targets. */
export interface IQuarantineService {
  /** Fails when the content has already cost as many targets as are allowed. */
  admit(fingerprint: string): Outcome<void>;
  /**
   * Counts a target lost while it ran the content since `startedMs`, spreads
   * that among peers, and resolves once they know.
   */
  strike(
    fingerprint: string,
    options: {
      stage: Pick<ChainStage, "target" | "first" | "end">;
      startedMs: number;
      /** Whether the content held an isolation lease when the target was lost. */
      isAlone: boolean;
      deadlineMs: number;
    },
  ): Promise<void>;
  /**
   * Asks to run content on targets. Content that has cost a target runs alone
   * among such content on each of them, one copy at a time over the fleet.
   */
  isolate(
    fingerprint: string,
    options: { targets: readonly string[]; deadlineMs: number },
  ): Promise<Isolation>;
  /** Lifts suspicion from content that ran past the point of its last loss. */
  clearSuspicion(fingerprint: string): void;
}
export const IQuarantineService: ServiceIdentifier<IQuarantineService> = Symbol
  .for(
    "QuarantineService",
  );

/** Leave to run content, or all targets that other suspects hold. */
export type Isolation =
  | { readonly kind: "unsuspected" }
  | { readonly kind: "alone"; readonly lease: Disposable }
  | { readonly kind: "busy"; readonly targets: readonly string[] };

/** What happened to recent requests, for operators; bounded in memory. */
export interface IRequestJournal {
  /** Notes a step. Never the prompt or the answer. */
  note(
    requestId: string,
    step: string,
    details?: Readonly<Record<string, unknown>>,
  ): void;
  /** The steps of a request, oldest first, or undefined when it is not known here. */
  explain(requestId: string): readonly JournalStep[] | undefined;
}
export const IRequestJournal: ServiceIdentifier<IRequestJournal> = Symbol.for(
  "RequestJournal",
);

/** One step of a request. */
export interface JournalStep {
  readonly atWallMs: number;
  readonly step: string;
  readonly details: Readonly<Record<string, unknown>>;
}

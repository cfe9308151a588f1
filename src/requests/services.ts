/**
 * Interfaces of the services that dispatch requests to targets.
 *
 * @module
 */

import type { ServiceIdentifier } from "inversify";
import type { Disposable } from "../common/lifecycle.ts";
import type { Outcome } from "../common/verdict.ts";
import type { ChainStage, ServiceResponse } from "../clients/types.ts";
import type {
  AnswerListener,
  CallRequest,
  CompletionEnd,
  CompletionRequest,
} from "./types.ts";

/** Runs completions; resumes the answer on another chain after a failure. */
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

/** Dispatches calls to plain services. */
export interface ICallService {
  call(request: CallRequest): Promise<Outcome<ServiceResponse>>;
}
export const ICallService: ServiceIdentifier<ICallService> = Symbol.for(
  "CallService",
);

/** Acquires claims for requests that must run at most once. */
export interface IClaimService {
  /**
   * Resolves with a claim that is first in log order for its key, or with a
   * failure: `not-run` if this request will never run, `may-have-run` if an
   * earlier request with the same key ran or may have run.
   */
  acquire(
    key: ClaimKey,
    options: { deadlineMs: number; signal?: AbortSignal },
  ): Promise<Outcome<IClaim>>;
}
export const IClaimService: ServiceIdentifier<IClaimService> = Symbol.for(
  "ClaimService",
);

/** Scope of a claim: one idempotency key of one customer at one service. */
export interface ClaimKey {
  readonly customer: string;
  readonly service: string;
  readonly idempotencyKey: string;
}

/** A claim held by this host; ends with one call of `release` or `settle`. */
export interface IClaim {
  readonly claimId: string;
  /** Whether the request may still be sent. */
  mayDispatch(): boolean;
  /** Releases the key. Allowed only if no byte of the request was sent. */
  release(): void;
  /** Records how the request ended, for the reply to later duplicates. */
  settle(result: "ran" | "may-have-run"): void;
}

/** Limits the targets that one content may crash. */
export interface IQuarantineService {
  /** Fails with `quarantined` if the content has lost too many targets. */
  admit(fingerprint: string): Outcome<void>;
  /**
   * Records the loss of a target that ran the content since `startedMs`, and
   * broadcasts it. Resolves when the hosts have replied or the broadcast timed
   * out.
   */
  strike(
    fingerprint: string,
    options: {
      stage: Pick<ChainStage, "target" | "first" | "end">;
      startedMs: number;
      /** Whether the content held an isolation lease at the loss. */
      isAlone: boolean;
      deadlineMs: number;
    },
  ): Promise<void>;
  /**
   * Requests permission to run content on targets. Suspect content, which has
   * lost a target, runs one copy at a time in the fleet and does not share a
   * target with other suspect content.
   */
  isolate(
    fingerprint: string,
    options: { targets: readonly string[]; deadlineMs: number },
  ): Promise<Isolation>;
  /** Clears content that ran past the point of its last loss. */
  clearSuspicion(fingerprint: string): void;
}
export const IQuarantineService: ServiceIdentifier<IQuarantineService> = Symbol
  .for(
    "QuarantineService",
  );

/** Result of `isolate`; `targets` are those locked by other suspect content. */
export type Isolation =
  | { readonly kind: "unsuspected" }
  | { readonly kind: "alone"; readonly lease: Disposable }
  | { readonly kind: "busy"; readonly targets: readonly string[] };

/** Bounded journal of the steps of recent requests, for operators. */
export interface IRequestJournal {
  /** Records a step. The details must not contain the prompt or the answer. */
  note(
    requestId: string,
    step: string,
    details?: Readonly<Record<string, unknown>>,
  ): void;
  /** Steps of a request, oldest first; undefined if the request is unknown. */
  explain(requestId: string): readonly JournalStep[] | undefined;
}
export const IRequestJournal: ServiceIdentifier<IRequestJournal> = Symbol.for(
  "RequestJournal",
);

export interface JournalStep {
  readonly atWallMs: number;
  readonly step: string;
  readonly details: Readonly<Record<string, unknown>>;
}

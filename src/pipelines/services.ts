/**
 * Services that choose chains and keep pipelines at capacity.
 *
 * @module
 */

import type { ServiceIdentifier } from "inversify";
import type { Event } from "../common/emitter.ts";
import type { Disposable } from "../common/lifecycle.ts";
import type { Outcome } from "../common/verdict.ts";
import type { ChainStage, EngineLoad, EngineState } from "../clients/types.ts";

/** A chain picked for one attempt; disposing it ends its share of the load. */
export interface ChainPick extends Disposable {
  readonly chain: readonly ChainStage[];
  readonly model: string;
  readonly version: string;
  readonly adapter?: string;
}

/** What a picker needs to know of a request. */
export interface PickRequest {
  readonly pipeline: string;
  /** Requests of equal hash share a cached prefix. */
  readonly prefixHash: number;
  /** Targets not to be used, for instance those that just failed this request. */
  readonly avoid: ReadonlySet<string>;
  /** Set on a resumed request: it stays on the version that it began with. */
  readonly version?: string;
  /** Set along with `version`: the model of the first pick. */
  readonly model?: string;
  /**
   * Set along with `version`: the adapter of the first pick, undefined for
   * none. Left out, the adapter configured now is taken.
   */
  readonly adapter?: string;
}

/** Picks chains. */
export interface IChainPicker {
  pick(request: PickRequest): Outcome<ChainPick>;
  /** Learns from an attempt: stage that failed, or gaps seen on a link. */
  reportFailure(
    target: string,
    kind: "connect" | "broken" | "stalled" | "stale-generation",
  ): void;
  reportLoad(target: string, load: EngineLoad): void;
  /** How long the next token may take on this chain before it counts as stalled. */
  progressTimeoutMs(
    chain: readonly ChainStage[],
    phase: "prefill" | "decode",
  ): number;
  reportProgress(
    chain: readonly ChainStage[],
    observation: { phase: "prefill" | "decode"; gapMs: number },
  ): void;
}
export const IChainPicker: ServiceIdentifier<IChainPicker> = Symbol.for(
  "ChainPicker",
);

/** What is known of each target: published state, signs of leaving, death. */
export interface ITargetDirectory {
  /** The last state published by an engine, unless it is known to be gone. */
  engineState(target: string): EngineState | undefined;
  /** False for a target that is leaving, draining, suspected or dead. */
  acceptsNewWork(target: string): boolean;
  /** Any sign that a target leaves; the earliest sign counts and is spread to peers. */
  markLeaving(
    target: string,
    source: "list" | "target" | "peer" | "config",
  ): void;
  recordState(state: EngineState): void;
  markLost(target: string): void;
  readonly onChange: Event<string>;
}
export const ITargetDirectory: ServiceIdentifier<ITargetDirectory> = Symbol.for(
  "TargetDirectory",
);

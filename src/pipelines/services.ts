/**
 * Interfaces for chain selection and target state.
 *
 * @module
 */

import type { ServiceIdentifier } from "inversify";
import type { Event } from "../common/emitter.ts";
import type { Disposable } from "../common/lifecycle.ts";
import type { Outcome } from "../common/verdict.ts";
import type { ChainStage, EngineLoad, EngineState } from "../clients/types.ts";

/** A chain picked for one attempt; disposing it releases its load. */
export interface ChainPick extends Disposable {
  readonly chain: readonly ChainStage[];
  readonly model: string;
  readonly version: string;
  readonly adapter?: string;
}

export interface PickRequest {
  readonly pipeline: string;
  /** Requests of equal hash share a cached prefix. */
  readonly prefixHash: number;
  /** Targets to exclude, such as those that failed this request. */
  readonly avoid: ReadonlySet<string>;
  /** Set for a resumed request, which stays on the version that it began with. */
  readonly version?: string;
  /** Set with `version`: the model of the first pick. */
  readonly model?: string;
  /**
   * Set with `version`: the adapter of the first pick, or undefined for none. If
   * the property is absent, the configured adapter applies.
   */
  readonly adapter?: string;
}

export interface IChainPicker {
  pick(request: PickRequest): Outcome<ChainPick>;
  /** Reports that an attempt failed at `target`. */
  reportFailure(
    target: string,
    kind: "connect" | "broken" | "stalled" | "stale-generation",
  ): void;
  reportLoad(target: string, load: EngineLoad): void;
  /** Time without a token after which the chain counts as stalled. */
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

/** State of each target as known to this host. */
export interface ITargetDirectory {
  /** The last state published by an engine; undefined if the engine is lost. */
  engineState(target: string): EngineState | undefined;
  /** False for a target that is leaving, draining, suspect or lost. */
  acceptsNewWork(target: string): boolean;
  /** Records a leaving notice, and publishes it to peers unless it came from one. */
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

/**
 * Picks the chain of each attempt from the spans that targets have published.
 *
 * @module
 */

import { Ok } from "ts-results-es";
import type { Clock } from "../common/clock.ts";
import { systemClock } from "../common/clock.ts";
import type { Random } from "../common/random.ts";
import { notRun, type Outcome } from "../common/verdict.ts";
import type { PipelineConfig } from "../config/schema.ts";
import type { IConfigService } from "../config/services.ts";
import type { ChainStage, EngineLoad } from "../platform/types.ts";
import {
  completeEdges,
  isUsable,
  type ModelChoice,
  pipelineTargets,
  type SpanEdge,
  spanEdge,
} from "./chain_graph.ts";
import type { ChainPick, IChainPicker, PickRequest } from "./services.ts";
import type { TargetDirectory } from "./target_directory.ts";

/** When to come back while a pipeline has no whole chain. */
const NO_CHAIN_RETRY_MS = 1_000;

/** Collaborators of a `ChainPicker`. */
export interface ChainPickerOptions {
  readonly config: IConfigService;
  readonly directory: TargetDirectory;
  readonly clock?: Clock;
  readonly random?: Random;
}

/** Picks chains for this host's attempts. */
export class ChainPicker implements IChainPicker {
  readonly #config: IConfigService;
  readonly #directory: TargetDirectory;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #inFlight = new Map<string, number>();

  constructor(options: ChainPickerOptions) {
    this.#config = options.config;
    this.#directory = options.directory;
    this.#clock = options.clock ?? systemClock;
    this.#random = options.random ?? Math.random;
  }

  pick(request: PickRequest): Outcome<ChainPick> {
    const pipeline = this.#config.state.config.pipelines[request.pipeline];
    if (!pipeline) {
      return notRun("not-found", `no pipeline is named "${request.pipeline}"`);
    }
    const choice: ModelChoice = {
      model: pipeline.model,
      version: request.version ?? pipeline.version,
      adapter: pipeline.adapter,
    };
    const edges = this.#usableEdges(pipeline, { choice, request });
    if (edges.length === 0) return this.#noChain(request.pipeline);
    const chain = this.#walk(edges, pipeline.layerCount);
    return new Ok({ ...choice, chain, ...this.#take(chain) });
  }

  reportFailure(
    target: string,
    kind: Parameters<IChainPicker["reportFailure"]>[1],
  ): void {
    if (kind === "connect" || kind === "broken") {
      this.#directory.noteSuspected(target);
    }
  }

  reportLoad(_target: string, _load: EngineLoad): void {}

  progressWithinMs(
    _chain: readonly ChainStage[],
    phase: "prefill" | "decode",
  ): number {
    return phase === "prefill" ? 2_000 : 250;
  }

  reportProgress(): void {}

  #usableEdges(
    pipeline: PipelineConfig,
    options: { choice: ModelChoice; request: PickRequest },
  ): SpanEdge[] {
    const { choice, request } = options;
    const edges: SpanEdge[] = [];
    for (const target of pipelineTargets(pipeline)) {
      if (request.avoid.has(target)) continue;
      if (!this.#directory.takesNewWork(target)) continue;
      const state = this.#directory.engineState(target);
      if (!state || !isUsable(state, choice)) continue;
      const edge = spanEdge(state, this.#config.state.config);
      if (edge) edges.push(edge);
    }
    return completeEdges(edges, pipeline.layerCount);
  }

  #walk(edges: readonly SpanEdge[], layerCount: number): ChainStage[] {
    const chain: ChainStage[] = [];
    let boundary = 0;
    while (boundary < layerCount) {
      const next = edges.filter((edge) => edge.first === boundary);
      const edge = this.#leastLoaded(next);
      chain.push({
        target: edge.target,
        url: edge.url,
        first: edge.first,
        end: edge.end,
        generation: edge.generation,
      });
      boundary = edge.end;
    }
    return chain;
  }

  #leastLoaded(edges: readonly SpanEdge[]): SpanEdge {
    const costs = edges.map((edge) =>
      ((this.#inFlight.get(edge.target) ?? 0) + 1) / edge.tokensPerS
    );
    const least = Math.min(...costs);
    const best = edges.filter((_, index) => costs[index] === least);
    return best[Math.floor(this.#random() * best.length)];
  }

  #take(chain: readonly ChainStage[]): { dispose(): void } {
    for (const { target } of chain) this.#addInFlight(target, 1);
    let taken = true;
    return {
      dispose: () => {
        if (!taken) return;
        taken = false;
        for (const { target } of chain) this.#addInFlight(target, -1);
      },
    };
  }

  #addInFlight(target: string, change: number): void {
    const count = (this.#inFlight.get(target) ?? 0) + change;
    if (count > 0) this.#inFlight.set(target, count);
    else this.#inFlight.delete(target);
  }

  #noChain(pipeline: string): Outcome<ChainPick> {
    return notRun(
      "no-target",
      `no whole chain of pipeline "${pipeline}" takes new work`,
      { retryAtWallMs: this.#clock.wallMs() + NO_CHAIN_RETRY_MS },
    );
  }
}

/**
 * Caches the chains that each pipeline can use, with one plan for each model
 * version that published spans cover completely. Plans are computed on demand
 * and dropped when a target or the configuration changes.
 *
 * @module
 */

import { type Disposable, DisposableStore } from "../common/lifecycle.ts";
import type { PipelineConfig } from "../config/schema.ts";
import type { IConfigService } from "../config/services.ts";
import type { EngineState } from "../clients/types.ts";
import { type ChainFlow, chainFlow } from "./chain_flow.ts";
import {
  completeEdges,
  isUsable,
  type ModelVariant,
  pipelineTargets,
  type SpanEdge,
  spanEdge,
} from "./chain_graph.ts";
import { ChainSteps } from "./chain_steps.ts";
import type { TargetDirectory } from "./target_directory.ts";

/** Share of the previous adapter's capacity at which only the new one is used. */
const ADAPTER_SWITCH_SHARE = 0.5;

/** Complete chains of one model, version and adapter. */
export interface ChainPlan {
  readonly variant: ModelVariant;
  readonly layerCount: number;
  readonly edges: readonly SpanEdge[];
  readonly flow: ChainFlow;
  readonly steps: ChainSteps;
}

export interface ChainPlansOptions {
  readonly config: IConfigService;
  readonly directory: TargetDirectory;
  /** Time between tokens of a stream above which a link counts as full. */
  readonly maxGapMs: number;
  /** Selects which of the given targets this host uses; all by default. */
  readonly subset?: (
    pipeline: string,
    targets: readonly string[],
  ) => readonly string[];
}

export class ChainPlans implements Disposable {
  readonly #options: ChainPlansOptions;
  readonly #store = new DisposableStore();
  readonly #plans = new Map<string, readonly ChainPlan[]>();
  /** By pipeline, the adapter in use before a change, while the new one loads. */
  readonly #previousAdapters = new Map<string, string | undefined>();
  #pipelines: Readonly<Record<string, PipelineConfig>> = {};
  #pipelinesByTarget = new Map<string, string[]>();

  constructor(options: ChainPlansOptions) {
    this.#options = options;
    this.#store.add(options.config.onChange(() => this.#readConfig()));
    this.#store.add(
      options.directory.onChange((target) => {
        for (const pipeline of this.#pipelinesByTarget.get(target) ?? []) {
          this.#plans.delete(pipeline);
        }
      }),
    );
    this.#readConfig();
  }

  /** Plans of a pipeline; empty if its targets form no complete chain. */
  plansOf(pipelineName: string): readonly ChainPlan[] {
    let plans = this.#plans.get(pipelineName);
    if (plans) return plans;
    const pipeline = this.#options.config.state.config.pipelines[pipelineName];
    plans = pipeline ? this.#compute(pipelineName, pipeline) : [];
    this.#plans.set(pipelineName, plans);
    return plans;
  }

  /** Plan of exactly this variant, for a request that is pinned to it. */
  planOf(pipelineName: string, variant: ModelVariant): ChainPlan | undefined {
    const existing = this.plansOf(pipelineName).find((plan) =>
      isSameVariant(plan.variant, variant)
    );
    if (existing) return existing;
    const pipeline = this.#options.config.state.config.pipelines[pipelineName];
    if (!pipeline) return undefined;
    const states = this.#offeredStates(pipelineName, pipeline);
    return this.#plan(states, { variant, layerCount: pipeline.layerCount });
  }

  dispose(): void {
    this.#store.dispose();
  }

  #readConfig(): void {
    this.#plans.clear();
    this.#pipelinesByTarget = new Map();
    const { pipelines } = this.#options.config.state.config;
    for (const [name, pipeline] of Object.entries(pipelines)) {
      this.#recordAdapterChange(name, pipeline);
      for (const target of pipelineTargets(pipeline)) {
        const names = this.#pipelinesByTarget.get(target) ?? [];
        this.#pipelinesByTarget.set(target, [...names, name]);
      }
    }
    this.#pipelines = pipelines;
  }

  /** Stores the previous adapter, which is used until enough targets hold the new one. */
  #recordAdapterChange(name: string, pipeline: PipelineConfig): void {
    const previous = this.#pipelines[name];
    if (!previous || this.#previousAdapters.has(name)) return;
    if (previous.model !== pipeline.model) return;
    if (previous.adapter === pipeline.adapter) return;
    this.#previousAdapters.set(name, previous.adapter);
  }

  #compute(name: string, pipeline: PipelineConfig): ChainPlan[] {
    const states = this.#offeredStates(name, pipeline);
    const plans = this.#planVersions(states, pipeline);
    if (!this.#previousAdapters.has(name)) return plans;
    const adapter = this.#previousAdapters.get(name);
    const previousPlans = this.#planVersions(states, { ...pipeline, adapter });
    if (
      totalBoundTokensPerS(plans) <
        ADAPTER_SWITCH_SHARE * totalBoundTokensPerS(previousPlans)
    ) {
      return [...plans, ...previousPlans];
    }
    if (plans.length > 0) this.#previousAdapters.delete(name);
    return plans;
  }

  #planVersions(
    states: readonly EngineState[],
    { model, adapter, layerCount }: PipelineConfig,
  ): ChainPlan[] {
    const versions = [...new Set(states.map((state) => state.version))].sort();
    return versions
      .map((version) => ({ model, version, adapter }))
      .map((variant) => this.#plan(states, { variant, layerCount }))
      .filter((plan) => plan !== undefined);
  }

  #offeredStates(name: string, pipeline: PipelineConfig): EngineState[] {
    const { directory, subset } = this.#options;
    const listed = pipelineTargets(pipeline);
    const offered = listed.filter((target) => directory.acceptsNewWork(target));
    const used = subset ? subset(name, offered) : offered;
    return used
      .map((target) => directory.engineState(target))
      .filter((state) => state !== undefined);
  }

  #plan(
    states: readonly EngineState[],
    options: { readonly variant: ModelVariant; readonly layerCount: number },
  ): ChainPlan | undefined {
    const { variant, layerCount } = options;
    const { config } = this.#options.config.state;
    const usable = states
      .filter((state) => isUsable(state, variant))
      .map((state) => spanEdge(state, config))
      .filter((edge) => edge !== undefined);
    const edges = completeEdges(usable, layerCount);
    if (edges.length === 0) return undefined;
    const flow = chainFlow(edges, {
      layerCount,
      links: config.links,
      maxGapMs: this.#options.maxGapMs,
    });
    const steps = new ChainSteps(edges, flow);
    return { variant, layerCount, edges, flow, steps };
  }
}

function totalBoundTokensPerS(plans: readonly ChainPlan[]): number {
  return plans.reduce((sum, plan) => sum + plan.flow.boundTokensPerS, 0);
}

function isSameVariant(a: ModelVariant, b: ModelVariant): boolean {
  return a.model === b.model && a.version === b.version &&
    a.adapter === b.adapter;
}

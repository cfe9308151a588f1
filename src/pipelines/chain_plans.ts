/**
 * The chains that each pipeline may use now, one plan for each version of the
 * model that published spans hold whole. Plans are computed when first asked
 * for and dropped when a target or the configuration changes.
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

/** Share of the old adapter's capacity at which only the new one is used. */
const ADAPTER_SWITCH_SHARE = 0.5;

/** Whole chains of one model, version and adapter. */
export interface ChainPlan {
  readonly variant: ModelVariant;
  readonly layerCount: number;
  readonly edges: readonly SpanEdge[];
  readonly flow: ChainFlow;
  readonly steps: ChainSteps;
}

/** Collaborators of `ChainPlans`. */
export interface ChainPlansOptions {
  readonly config: IConfigService;
  readonly directory: TargetDirectory;
  /** Time between tokens of a stream above which a link counts as full. */
  readonly maxGapMs: number;
  /** Chooses the targets that this host uses of those given, all by default. */
  readonly subset?: (
    pipeline: string,
    targets: readonly string[],
  ) => readonly string[];
}

/** Caches the plans of each pipeline. */
export class ChainPlans implements Disposable {
  readonly #options: ChainPlansOptions;
  readonly #store = new DisposableStore();
  readonly #plans = new Map<string, readonly ChainPlan[]>();
  /** Adapters that a change took away, while the new ones load. */
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

  /** Plans of a pipeline; empty when its targets hold no whole chain. */
  plansOf(pipelineName: string): readonly ChainPlan[] {
    let plans = this.#plans.get(pipelineName);
    if (plans) return plans;
    const pipeline = this.#options.config.state.config.pipelines[pipelineName];
    plans = pipeline ? this.#compute(pipelineName, pipeline) : [];
    this.#plans.set(pipelineName, plans);
    return plans;
  }

  /** Plans again with exactly this choice, for a request that is bound to it. */
  planOf(pipelineName: string, variant: ModelVariant): ChainPlan | undefined {
    const existing = this.plansOf(pipelineName).find((plan) =>
      isSameVariant(plan.variant, variant)
    );
    if (existing) return existing;
    const pipeline = this.#options.config.state.config.pipelines[pipelineName];
    if (!pipeline) return undefined;
    const states = this.#offeredStates(pipelineName, pipeline);
    return this.#plan(states, {
      choice: variant,
      layerCount: pipeline.layerCount,
    });
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

  /** Remembers the adapter to serve until enough targets hold the new one. */
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
      .map((choice) => this.#plan(states, { choice, layerCount }))
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
    options: { readonly choice: ModelVariant; readonly layerCount: number },
  ): ChainPlan | undefined {
    const { choice, layerCount } = options;
    const { config } = this.#options.config.state;
    const usable = states
      .filter((state) => isUsable(state, choice))
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
    return { variant: choice, layerCount, edges, flow, steps };
  }
}

function totalBoundTokensPerS(plans: readonly ChainPlan[]): number {
  return plans.reduce((sum, plan) => sum + plan.flow.boundTokensPerS, 0);
}

function isSameVariant(a: ModelVariant, b: ModelVariant): boolean {
  return a.model === b.model && a.version === b.version &&
    a.adapter === b.adapter;
}

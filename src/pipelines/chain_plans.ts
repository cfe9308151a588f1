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
  type ModelChoice,
  pipelineTargets,
  type SpanEdge,
  spanEdge,
} from "./chain_graph.ts";
import { ChainSteps } from "./chain_steps.ts";
import type { TargetDirectory } from "./target_directory.ts";

/** Share of the old adapter's capacity at which only the new one is used. */
const SWITCH_SHARE = 0.5;

/** Whole chains of one model, version and adapter. */
export interface ChainPlan {
  readonly choice: ModelChoice;
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
  readonly #oldAdapters = new Map<string, string | undefined>();
  #pipelines: Readonly<Record<string, PipelineConfig>> = {};
  #pipelinesOf = new Map<string, string[]>();

  constructor(options: ChainPlansOptions) {
    this.#options = options;
    this.#store.add(options.config.onChange(() => this.#readConfig()));
    this.#store.add(
      options.directory.onChange((target) => {
        for (const pipeline of this.#pipelinesOf.get(target) ?? []) {
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
  planOf(pipelineName: string, choice: ModelChoice): ChainPlan | undefined {
    const known = this.plansOf(pipelineName).find((plan) =>
      isSameChoice(plan.choice, choice)
    );
    if (known) return known;
    const pipeline = this.#options.config.state.config.pipelines[pipelineName];
    if (!pipeline) return undefined;
    const states = this.#offeredStates(pipelineName, pipeline);
    return this.#plan(states, { choice, layerCount: pipeline.layerCount });
  }

  dispose(): void {
    this.#store.dispose();
  }

  #readConfig(): void {
    this.#plans.clear();
    this.#pipelinesOf = new Map();
    const { pipelines } = this.#options.config.state.config;
    for (const [name, pipeline] of Object.entries(pipelines)) {
      this.#noteAdapter(name, pipeline);
      for (const target of pipelineTargets(pipeline)) {
        const names = this.#pipelinesOf.get(target) ?? [];
        this.#pipelinesOf.set(target, [...names, name]);
      }
    }
    this.#pipelines = pipelines;
  }

  /** Remembers the adapter to serve until enough targets hold the new one. */
  #noteAdapter(name: string, pipeline: PipelineConfig): void {
    const before = this.#pipelines[name];
    if (!before || this.#oldAdapters.has(name)) return;
    if (before.model !== pipeline.model) return;
    if (before.adapter === pipeline.adapter) return;
    this.#oldAdapters.set(name, before.adapter);
  }

  #compute(name: string, pipeline: PipelineConfig): ChainPlan[] {
    const states = this.#offeredStates(name, pipeline);
    const plans = this.#planVersions(states, pipeline);
    if (!this.#oldAdapters.has(name)) return plans;
    const adapter = this.#oldAdapters.get(name);
    const oldPlans = this.#planVersions(states, { ...pipeline, adapter });
    if (boundOf(plans) < SWITCH_SHARE * boundOf(oldPlans)) {
      return [...plans, ...oldPlans];
    }
    if (plans.length > 0) this.#oldAdapters.delete(name);
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
    const offered = listed.filter((target) => directory.takesNewWork(target));
    const used = subset ? subset(name, offered) : offered;
    return used
      .map((target) => directory.engineState(target))
      .filter((state) => state !== undefined);
  }

  #plan(
    states: readonly EngineState[],
    options: { readonly choice: ModelChoice; readonly layerCount: number },
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
    return { choice, layerCount, edges, flow, steps };
  }
}

function boundOf(plans: readonly ChainPlan[]): number {
  return plans.reduce((sum, plan) => sum + plan.flow.boundTokensPerS, 0);
}

function isSameChoice(a: ModelChoice, b: ModelChoice): boolean {
  return a.model === b.model && a.version === b.version &&
    a.adapter === b.adapter;
}

/**
 * Picks the chain of each attempt from the spans that targets have published.
 *
 * @module
 */

import { Ok } from "ts-results-es";
import type { Clock } from "../common/clock.ts";
import { systemClock } from "../common/clock.ts";
import {
  type Disposable,
  DisposableStore,
  toDisposable,
} from "../common/lifecycle.ts";
import type { Random } from "../common/random.ts";
import { notRun, type Outcome } from "../common/verdict.ts";
import type { IConfigService } from "../config/services.ts";
import type { ChainStage, EngineLoad } from "../clients/types.ts";
import {
  completeEdges,
  type ModelVariant,
  type SpanEdge,
} from "./chain_graph.ts";
import { drawWeighted, linkName, walkChain } from "./chain_walk.ts";
import { type ChainPlan, ChainPlans } from "./chain_plans.ts";
import { PrefixAffinity } from "./prefix_affinity.ts";
import { type Phase, ProgressDeadline } from "./progress_deadline.ts";
import type { ChainPick, IChainPicker, PickRequest } from "./services.ts";
import type { TargetDirectory } from "./target_directory.ts";
import { SlowComponents } from "./slow_components.ts";
import { TargetLoad } from "./target_load.ts";

/** When to come back while a pipeline has no whole chain. */
const NO_CHAIN_RETRY_MS = 1_000;
/** When to come back while every chain is full. */
const OVERLOADED_RETRY_MS = 500;
/** A stream's share of a target below which the target counts as full. */
const MAX_GAP_MS = 100;
/** Walks tried before a pipeline counts as full. */
const MAX_WALK_ATTEMPTS = 3;

/** Collaborators of a `ChainPicker`. */
export interface ChainPickerOptions {
  readonly config: IConfigService;
  readonly directory: TargetDirectory;
  readonly clock?: Clock;
  readonly random?: Random;
  /** Chooses the targets that this host uses of a pipeline's, all by default. */
  readonly subset?: (
    pipeline: string,
    targets: readonly string[],
  ) => readonly string[];
  /** Predicted time between tokens above which new work is refused. */
  readonly maxGapMs?: number;
}

/** Picks chains for this host's attempts. */
export class ChainPicker implements IChainPicker, Disposable {
  readonly #config: IConfigService;
  readonly #directory: TargetDirectory;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #maxGapMs: number;
  readonly #store = new DisposableStore();
  readonly #plans: ChainPlans;
  readonly #load: TargetLoad;
  readonly #deadline: ProgressDeadline;
  readonly #slowComponents: SlowComponents;
  /** The parts of each chain in use. */
  readonly #components = new WeakMap<
    readonly ChainStage[],
    readonly string[]
  >();
  /** Targets blamed for a stall that have not been heard since. */
  readonly #stalledTargets = new Set<string>();
  readonly #affinity = new PrefixAffinity();

  constructor(options: ChainPickerOptions) {
    this.#config = options.config;
    this.#directory = options.directory;
    this.#clock = options.clock ?? systemClock;
    this.#random = options.random ?? Math.random;
    this.#maxGapMs = options.maxGapMs ?? MAX_GAP_MS;
    this.#plans = this.#store.add(
      new ChainPlans({ ...options, maxGapMs: this.#maxGapMs }),
    );
    this.#load = new TargetLoad({ clock: this.#clock });
    this.#slowComponents = new SlowComponents({ clock: this.#clock });
    this.#deadline = new ProgressDeadline({ clock: this.#clock });
    this.#store.add(
      this.#directory.onState(({ target, load }) => {
        this.#load.recordReport(target, load);
        this.#handleReport(target);
      }),
    );
    this.#store.add(
      this.#config.onChange(({ config }) => this.#retain(config.targets)),
    );
  }

  pick(request: PickRequest): Outcome<ChainPick> {
    const pipeline = this.#config.state.config.pipelines[request.pipeline];
    if (!pipeline) {
      return notRun("not-found", `no pipeline is named "${request.pipeline}"`);
    }
    const plan = this.#selectPlan(request);
    const edges = plan ? usableEdges(plan, request.avoid) : [];
    if (!plan || edges.length === 0) return this.#noChain(request.pipeline);
    const path = this.#walk(plan, { edges, prefixHash: request.prefixHash });
    if (!path) return this.#overloaded(request.pipeline);
    const chain = path.map(chainStage);
    return new Ok({ ...plan.variant, chain, ...this.#reserve(chain, path) });
  }

  reportFailure(
    target: string,
    kind: Parameters<IChainPicker["reportFailure"]>[1],
  ): void {
    if (kind === "connect") this.#directory.markSuspect(target);
    if (kind === "stalled") this.#stalledTargets.add(target);
    if (kind !== "stale-generation") this.#load.recordFailure(target);
    this.#directory.requestCheck(target);
  }

  reportLoad(target: string, load: EngineLoad): void {
    this.#load.recordReport(target, load);
  }

  progressTimeoutMs(chain: readonly ChainStage[], phase: Phase): number {
    return this.#deadline.timeoutMs(chain, phase);
  }

  reportProgress(
    chain: readonly ChainStage[],
    observation: { phase: Phase; gapMs: number },
  ): void {
    this.#deadline.recordGap(chain, observation);
    const meanGapMs = this.#deadline.sampledMeanGapMs(chain);
    if (observation.phase === "prefill" || meanGapMs === undefined) return;
    const components = this.#components.get(chain) ?? [];
    this.#slowComponents.recordChain(components, meanGapMs);
    for (const component of components) this.#load.recordProgress(component);
  }

  /** Tokens a second that the hardware behind a pipeline allows now. */
  boundTokensPerS(pipeline: string): number {
    const plans = this.#plans.plansOf(pipeline);
    return plans.reduce((sum, plan) => sum + plan.flow.boundTokensPerS, 0);
  }

  dispose(): void {
    this.#store.dispose();
  }

  #selectPlan(request: PickRequest): ChainPlan | undefined {
    const { pipeline, version } = request;
    if (version !== undefined) {
      return this.#plans.planOf(
        pipeline,
        this.#pinnedVariant(request, version),
      );
    }
    const plans = this.#plans.plansOf(pipeline);
    return drawWeighted(plans, {
      weightOf: (plan) => plan.flow.boundTokensPerS,
      random: this.#random,
    });
  }

  #pinnedVariant(request: PickRequest, version: string): ModelVariant {
    const pipeline = this.#config.state.config.pipelines[request.pipeline];
    const model = request.model ?? pipeline.model;
    const adapter = "adapter" in request ? request.adapter : pipeline.adapter;
    return { model, version, adapter };
  }

  #walk(
    plan: ChainPlan,
    options: {
      readonly edges: readonly SpanEdge[];
      readonly prefixHash: number;
    },
  ): SpanEdge[] | undefined {
    const hash = options.prefixHash;
    const share = this.#affinity.note(hash);
    const usesAllEdges = options.edges === plan.edges;
    const usable = new Set(usesAllEdges ? [] : options.edges);
    const mayUse = usesAllEdges
      ? undefined
      : (edge: SpanEdge) => usable.has(edge);
    for (let walk = 0; walk < MAX_WALK_ATTEMPTS; walk++) {
      const path = walkChain({
        plan,
        mayUse,
        load: this.#load,
        slowComponents: this.#slowComponents,
        random: this.#random,
        isFull: (edge) => this.#isFull(edge),
        prefix: share === undefined ? undefined : { hash, share },
      });
      if (path) return path;
    }
    return undefined;
  }

  #isFull({ target, tokensPerS }: SpanEdge): boolean {
    const { targets } = this.#config.state.config;
    if (targets[target]?.layerTokensPerS === undefined) return false;
    const streams = this.#load.estimatedStreams(target);
    return streams >= Math.max(1, tokensPerS * this.#maxGapMs / 1_000);
  }

  #reserve(
    chain: readonly ChainStage[],
    path: readonly SpanEdge[],
  ): Disposable {
    const components = chainComponents(path);
    this.#components.set(chain, components);
    for (const component of components) this.#load.addInFlight(component, 1);
    this.#deadline.recordStart(chain);
    const startMs = this.#clock.nowMs();
    let isReserved = true;
    return toDisposable(() => {
      if (!isReserved) return;
      isReserved = false;
      for (const component of components) this.#load.addInFlight(component, -1);
      this.#load.recordDuration(this.#clock.nowMs() - startMs);
      this.#handleEnd(chain, startMs);
    });
  }

  /**
   * A chain given up after its deadline, for which no target was blamed, was
   * slow as a whole: its deadline widens, lest every further try fails alike.
   */
  #handleEnd(chain: readonly ChainStage[], startMs: number): void {
    const withinMs = this.#deadline.timeoutMs(chain, "decode");
    if (this.#deadline.sinceProgressMs(chain) < withinMs) return;
    this.#deadline.recordTimeout(chain);
    const isBlamed = chain.some(({ target }) =>
      this.#load.failedSince(target, startMs)
    );
    if (isBlamed) return;
    for (const { target } of chain) this.#deadline.recordStall(target);
  }

  /** A target that stalled and yet answers is slow, so it gets more time. */
  #handleReport(target: string): void {
    if (this.#stalledTargets.delete(target)) this.#deadline.recordStall(target);
  }

  #retain(targets: Readonly<Record<string, unknown>>): void {
    const isKept = (component: string) =>
      component in targets || component.includes(">");
    this.#load.retain(isKept);
    for (const target of this.#stalledTargets) {
      if (!isKept(target)) this.#stalledTargets.delete(target);
    }
    this.#deadline.retain(isKept);
    this.#slowComponents.retain(isKept);
  }

  #noChain(pipeline: string): Outcome<ChainPick> {
    return notRun(
      "no-target",
      `no whole chain of pipeline "${pipeline}" takes new work`,
      { retryAtWallMs: this.#clock.wallMs() + NO_CHAIN_RETRY_MS },
    );
  }

  #overloaded(pipeline: string): Outcome<ChainPick> {
    return notRun(
      "overloaded",
      `the chains of pipeline "${pipeline}" are full`,
      { retryAtWallMs: this.#clock.wallMs() + OVERLOADED_RETRY_MS },
    );
  }
}

function usableEdges(
  plan: ChainPlan,
  avoid: ReadonlySet<string>,
): readonly SpanEdge[] {
  if (avoid.size === 0) return plan.edges;
  const remaining = plan.edges.filter((edge) => !avoid.has(edge.target));
  return completeEdges(remaining, plan.layerCount);
}

/** The targets and links that a stream through `path` uses. */
function chainComponents(path: readonly SpanEdge[]): string[] {
  const links = path.slice(1).map((edge, index) => linkName(path[index], edge));
  return [...path.map(({ target }) => target), ...links];
}

function chainStage(edge: SpanEdge): ChainStage {
  const { target, url, first, end, generation } = edge;
  return { target, url, first, end, generation };
}

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
  type ModelChoice,
  type SpanEdge,
} from "./chain_graph.ts";
import { drawWeighted, linkPart, walkChain } from "./chain_walk.ts";
import { type ChainPlan, ChainPlans } from "./chain_plans.ts";
import { PrefixAffinity } from "./prefix_affinity.ts";
import { type Phase, ProgressDeadline } from "./progress_deadline.ts";
import type { ChainPick, IChainPicker, PickRequest } from "./services.ts";
import type { TargetDirectory } from "./target_directory.ts";
import { SlowParts } from "./slow_parts.ts";
import { TargetLoad } from "./target_load.ts";

/** When to come back while a pipeline has no whole chain. */
const NO_CHAIN_RETRY_MS = 1_000;
/** When to come back while every chain is full. */
const OVERLOADED_RETRY_MS = 500;
/** A stream's share of a target below which the target counts as full. */
const MAX_GAP_MS = 100;
/** Walks tried before a pipeline counts as full. */
const MAX_WALKS = 3;

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
  readonly #slowParts: SlowParts;
  /** The parts of each chain in use. */
  readonly #parts = new WeakMap<readonly ChainStage[], readonly string[]>();
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
    this.#slowParts = new SlowParts({ clock: this.#clock });
    this.#deadline = new ProgressDeadline({ clock: this.#clock });
    this.#store.add(
      this.#directory.onState(({ target, load }) => {
        this.#load.noteReport(target, load);
        this.#noteAlive(target);
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
    const plan = this.#choosePlan(request);
    const edges = plan ? usableEdges(plan, request.avoid) : [];
    if (!plan || edges.length === 0) return this.#noChain(request.pipeline);
    const path = this.#walk(plan, { edges, prefixHash: request.prefixHash });
    if (!path) return this.#overloaded(request.pipeline);
    const chain = path.map(chainStage);
    return new Ok({ ...plan.choice, chain, ...this.#take(chain, path) });
  }

  reportFailure(
    target: string,
    kind: Parameters<IChainPicker["reportFailure"]>[1],
  ): void {
    if (kind === "connect") this.#directory.noteSuspected(target);
    if (kind === "stalled") this.#stalledTargets.add(target);
    if (kind !== "stale-generation") this.#load.noteFailure(target);
    this.#directory.noteDoubt(target);
  }

  reportLoad(target: string, load: EngineLoad): void {
    this.#load.noteReport(target, load);
  }

  progressWithinMs(chain: readonly ChainStage[], phase: Phase): number {
    return this.#deadline.withinMs(chain, phase);
  }

  reportProgress(
    chain: readonly ChainStage[],
    observation: { phase: Phase; gapMs: number },
  ): void {
    this.#deadline.noteGap(chain, observation);
    const meanGapMs = this.#deadline.sampledMeanGapMs(chain);
    if (observation.phase === "prefill" || meanGapMs === undefined) return;
    const parts = this.#parts.get(chain) ?? [];
    this.#slowParts.noteChain(parts, meanGapMs);
    for (const part of parts) this.#load.noteProgress(part);
  }

  /** Tokens a second that the hardware behind a pipeline allows now. */
  boundTokensPerS(pipeline: string): number {
    const plans = this.#plans.plansOf(pipeline);
    return plans.reduce((sum, plan) => sum + plan.flow.boundTokensPerS, 0);
  }

  dispose(): void {
    this.#store.dispose();
  }

  #choosePlan(request: PickRequest): ChainPlan | undefined {
    const { pipeline, version } = request;
    if (version !== undefined) {
      return this.#plans.planOf(pipeline, this.#boundChoice(request, version));
    }
    const plans = this.#plans.plansOf(pipeline);
    return drawWeighted(plans, {
      weightOf: (plan) => plan.flow.boundTokensPerS,
      random: this.#random,
    });
  }

  #boundChoice(request: PickRequest, version: string): ModelChoice {
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
    const isWhole = options.edges === plan.edges;
    const usable = new Set(isWhole ? [] : options.edges);
    const mayUse = isWhole ? undefined : (edge: SpanEdge) => usable.has(edge);
    for (let walk = 0; walk < MAX_WALKS; walk++) {
      const path = walkChain({
        plan,
        mayUse,
        load: this.#load,
        slowParts: this.#slowParts,
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

  #take(chain: readonly ChainStage[], path: readonly SpanEdge[]): Disposable {
    const parts = chainParts(path);
    this.#parts.set(chain, parts);
    for (const part of parts) this.#load.addInFlight(part, 1);
    this.#deadline.noteStart(chain);
    const startMs = this.#clock.nowMs();
    let isTaken = true;
    return toDisposable(() => {
      if (!isTaken) return;
      isTaken = false;
      for (const part of parts) this.#load.addInFlight(part, -1);
      this.#load.noteDuration(this.#clock.nowMs() - startMs);
      this.#noteEnd(chain, startMs);
    });
  }

  /**
   * A chain given up after its deadline, for which no target was blamed, was
   * slow as a whole: its deadline widens, lest every further try fails alike.
   */
  #noteEnd(chain: readonly ChainStage[], startMs: number): void {
    const withinMs = this.#deadline.withinMs(chain, "decode");
    if (this.#deadline.silentForMs(chain) < withinMs) return;
    this.#deadline.noteLate(chain);
    const isBlamed = chain.some(({ target }) =>
      this.#load.failedSince(target, startMs)
    );
    if (isBlamed) return;
    for (const { target } of chain) this.#deadline.noteStall(target);
  }

  /** A target that stalled and yet answers is slow, so it gets more time. */
  #noteAlive(target: string): void {
    if (this.#stalledTargets.delete(target)) this.#deadline.noteStall(target);
  }

  #retain(targets: Readonly<Record<string, unknown>>): void {
    const isKept = (part: string) => part in targets || part.includes(">");
    this.#load.retain(isKept);
    for (const target of this.#stalledTargets) {
      if (!isKept(target)) this.#stalledTargets.delete(target);
    }
    this.#deadline.retain(isKept);
    this.#slowParts.retain(isKept);
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
  const left = plan.edges.filter((edge) => !avoid.has(edge.target));
  return completeEdges(left, plan.layerCount);
}

/** The targets and links that a stream through `path` uses. */
function chainParts(path: readonly SpanEdge[]): string[] {
  const links = path.slice(1).map((edge, index) => linkPart(path[index], edge));
  return [...path.map(({ target }) => target), ...links];
}

function chainStage(edge: SpanEdge): ChainStage {
  const { target, url, first, end, generation } = edge;
  return { target, url, first, end, generation };
}

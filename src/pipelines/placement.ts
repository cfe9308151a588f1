/**
 * Which target is to hold which span. A pure function of the configuration
 * and of published state, so that any two hosts that see the same want the
 * same. Targets of a stage hold its span. Standbys hold one ready, where the
 * capacity is lowest for what is normal, and move only when a stage gains
 * more by it than another loses.
 *
 * @module
 */

import type { Config, PipelineConfig } from "../config/schema.ts";
import type { EngineState, LayerSpan } from "../clients/types.ts";
import { DEFAULT_LAYER_TOKENS_PER_S, pipelineTargets } from "./chain_graph.ts";

/** Gain in the lowest share of capacity below which no target moves. */
const MIN_MOVE_GAIN = 0.1;

/** What one target is to hold. */
export interface WantedLoad extends LayerSpan {
  readonly target: string;
  readonly pipeline: string;
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly role: "both";
}

/** Pipelines that share targets and are therefore placed together. */
export interface Pool {
  /** The first of its pipelines in order of name. */
  readonly name: string;
  readonly pipelines: readonly string[];
  readonly targets: readonly string[];
}

/** What a placement depends on. */
export interface PlacementInput {
  readonly config: Config;
  readonly pool: Pool;
  readonly stateOf: (target: string) => EngineState | undefined;
  /** False for a target that is lost or leaving. */
  readonly isAvailable: (target: string) => boolean;
}

/** Groups the pipelines that share targets. */
export function pools(config: Config): Pool[] {
  const poolByPipeline = new Map<string, Set<string>>();
  const poolByTarget = new Map<string, Set<string>>();
  for (const name of Object.keys(config.pipelines).sort()) {
    let members = new Set([name]);
    for (const target of pipelineTargets(config.pipelines[name])) {
      const others = poolByTarget.get(target);
      if (others && others !== members) {
        members = new Set([...others, ...members]);
      }
      poolByTarget.set(target, members);
    }
    for (const member of members) {
      poolByPipeline.set(member, members);
      for (const target of pipelineTargets(config.pipelines[member])) {
        poolByTarget.set(target, members);
      }
    }
  }
  return [...new Set(poolByPipeline.values())].map((members) => {
    const names = [...members].sort();
    const targets = names.flatMap((name) =>
      pipelineTargets(config.pipelines[name])
    );
    return { name: names[0], pipelines: names, targets: [...new Set(targets)] };
  });
}

/** Computes what each available target of a pool is to hold. */
export function wantedPlacement(input: PlacementInput): WantedLoad[] {
  return new Placement(input).compute();
}

/** One stage of one pipeline with the capacity placed on it so far. */
interface StageCapacity extends LayerSpan {
  readonly pipelineName: string;
  readonly pipeline: PipelineConfig;
  readonly nominalRate: number;
  placedRate: number;
  readonly holders: Set<string>;
}

class Placement {
  readonly #input: PlacementInput;
  readonly #stages: StageCapacity[];
  readonly #stageOf = new Map<string, StageCapacity>();

  constructor(input: PlacementInput) {
    this.#input = input;
    this.#stages = input.pool.pipelines.flatMap((name) =>
      this.#stagesOf(name, input.config.pipelines[name])
    );
  }

  compute(): WantedLoad[] {
    this.#placeStageTargets();
    this.#placeStandbys();
    while (this.#moveOne());
    return [...this.#stageOf]
      .map(([target, stage]) => this.#wanted(target, stage))
      .sort((a, b) => a.target < b.target ? -1 : 1);
  }

  #stagesOf(name: string, pipeline: PipelineConfig): StageCapacity[] {
    return pipeline.stages.map(({ first, end, targets }) => ({
      first,
      end,
      pipelineName: name,
      pipeline,
      nominalRate: targets.reduce(
        (sum, target) => sum + this.#rateOf(target),
        0,
      ),
      placedRate: 0,
      holders: new Set(),
    }));
  }

  #placeStageTargets(): void {
    for (const stage of this.#stages) {
      const { targets } = stage.pipeline.stages.find(({ first }) =>
        first === stage.first
      )!;
      for (const target of targets) {
        if (!this.#input.isAvailable(target)) continue;
        if (this.#stageOf.has(target)) this.#addSharedTarget(target, stage);
        else this.#place(target, stage);
      }
    }
  }

  /** A target of two pipelines counts for both when it holds one span for both. */
  #addSharedTarget(target: string, stage: StageCapacity): void {
    const own = this.#stageOf.get(target)!;
    if (!isSameLoad(own, stage)) return;
    stage.placedRate += this.#rateOf(target);
  }

  #placeStandbys(): void {
    const standbys = this.#input.pool.targets.filter((target) =>
      !this.#stageOf.has(target) && this.#input.isAvailable(target)
    ).sort();
    const unplaced = standbys.filter((target) => {
      const stage = this.#heldStage(target);
      if (stage) this.#place(target, stage);
      return !stage;
    });
    for (const target of unplaced) {
      const stage = leastCovered(this.#eligibleStages(target));
      if (stage) this.#place(target, stage);
    }
  }

  /** The stage whose span the target already holds or loads. */
  #heldStage(target: string): StageCapacity | undefined {
    const state = this.#input.stateOf(target);
    if (!state) return undefined;
    return this.#eligibleStages(target).find(({ first, end, pipeline }) =>
      state.first === first && state.end === end &&
      state.model === pipeline.model
    );
  }

  #eligibleStages(target: string): StageCapacity[] {
    return this.#stages.filter(({ pipeline }) =>
      pipelineTargets(pipeline).includes(target)
    );
  }

  /** Moves one target to the least covered stage, if that gains enough. */
  #moveOne(): boolean {
    const destination = leastCovered(this.#stages);
    if (!destination) return false;
    const before = coverage(destination);
    const candidates = [...this.#stageOf]
      .filter(([target, stage]) => this.#canMove(target, stage, destination))
      .map(([target, stage]) => {
        const rate = this.#rateOf(target);
        const coverageLeft = (stage.placedRate - rate) / stage.nominalRate;
        const coverageGained = (destination.placedRate + rate) /
          destination.nominalRate;
        return { target, after: Math.min(coverageLeft, coverageGained) };
      })
      .filter(({ after }) => after > before + MIN_MOVE_GAIN)
      .sort((a, b) => this.#compareMoves(a, b, destination));
    if (candidates.length === 0) return false;
    this.#place(candidates[0].target, destination);
    return true;
  }

  /** A target moves from its own stage only to one that nobody holds. */
  #canMove(
    target: string,
    stage: StageCapacity,
    destination: StageCapacity,
  ): boolean {
    if (stage === destination || stage.holders.size < 2) return false;
    if (!this.#eligibleStages(target).includes(destination)) return false;
    const isConfiguredStage = stage.pipeline.stages.some(({ first, targets }) =>
      first === stage.first && targets.includes(target)
    );
    return !isConfiguredStage || destination.placedRate === 0;
  }

  #compareMoves(
    a: { target: string; after: number },
    b: { target: string; after: number },
    destination: StageCapacity,
  ): number {
    const holds = ({ target }: { target: string }) =>
      this.#heldStage(target) === destination ? 1 : 0;
    return holds(b) - holds(a) || b.after - a.after ||
      (a.target < b.target ? -1 : 1);
  }

  #place(target: string, stage: StageCapacity): void {
    const rate = this.#rateOf(target);
    const before = this.#stageOf.get(target);
    if (before) {
      before.placedRate -= rate;
      before.holders.delete(target);
    }
    stage.placedRate += rate;
    stage.holders.add(target);
    this.#stageOf.set(target, stage);
  }

  #wanted(target: string, stage: StageCapacity): WantedLoad {
    const { first, end, pipelineName, pipeline } = stage;
    const { model, version } = pipeline;
    const adapters = this.#input.pool.pipelines
      .map((name) => this.#input.config.pipelines[name])
      .filter((other) => other.model === model && other.version === version)
      .filter((other) => pipelineTargets(other).includes(target))
      .map((other) => other.adapter)
      .filter((adapter) => adapter !== undefined);
    return {
      target,
      pipeline: pipelineName,
      first,
      end,
      model,
      version,
      adapters: [...new Set(adapters)].sort(),
      role: "both",
    };
  }

  #rateOf(target: string): number {
    return this.#input.config.targets[target]?.layerTokensPerS ??
      DEFAULT_LAYER_TOKENS_PER_S;
  }
}

function coverage(
  { placedRate: placedRate, nominalRate: nominalRate }: StageCapacity,
): number {
  return placedRate / nominalRate;
}

function leastCovered(
  stages: readonly StageCapacity[],
): StageCapacity | undefined {
  return stages.reduce<StageCapacity | undefined>(
    (least, stage) =>
      !least || coverage(stage) < coverage(least) ? stage : least,
    undefined,
  );
}

function isSameLoad(a: StageCapacity, b: StageCapacity): boolean {
  return a.first === b.first && a.end === b.end &&
    a.pipeline.model === b.pipeline.model &&
    a.pipeline.version === b.pipeline.version;
}

/**
 * The part of a large pipeline that one host uses. Of the targets that hold
 * one span a host takes a few, chosen by rendezvous hashing with its own name
 * and its own region first, enough that every target is used by many hosts.
 *
 * @module
 */

import { rendezvousRank } from "../common/hash.ts";
import { type Disposable, DisposableStore } from "../common/lifecycle.ts";
import type { IConfigService } from "../config/services.ts";
import type { IMembership } from "../fleet/services.ts";
import { pipelineTargets } from "./chain_graph.ts";
import type { TargetDirectory } from "./target_directory.ts";

/** Targets of one span that a host uses, when there are more. */
const MIN_REPLICAS = 8;
/** Hosts that are to use each target, so that their choices even out. */
const HOSTS_PER_TARGET = 100;
/** Share of a host's targets taken from other regions, for when its own fill. */
const REMOTE_SHARE = 0.25;

/** Collaborators of a `TargetSubset`. */
export interface TargetSubsetOptions {
  readonly config: IConfigService;
  readonly directory: TargetDirectory;
  readonly membership: IMembership;
  readonly minReplicas?: number;
}

/** Chooses this host's targets. */
export class TargetSubset implements Disposable {
  readonly #options: TargetSubsetOptions;
  readonly #store = new DisposableStore();
  /** Computed again after a change of anything that it rests on. */
  #all: Set<string> | undefined;

  constructor(options: TargetSubsetOptions) {
    this.#options = options;
    const invalidate = () => this.#all = undefined;
    this.#store.add(options.config.onChange(invalidate));
    this.#store.add(options.membership.onChange(invalidate));
    this.#store.add(options.directory.onChange(invalidate));
  }

  /** The targets that this host uses of those that a pipeline offers. */
  select(pipeline: string, targets: readonly string[]): string[] {
    const groups = new Map<string, string[]>();
    for (const target of targets) {
      const key = this.#spanKey(pipeline, target);
      const group = groups.get(key) ?? [];
      group.push(target);
      groups.set(key, group);
    }
    return [...groups].flatMap(([key, group]) =>
      this.#selectFromGroup(`${pipeline} ${key}`, group)
    );
  }

  /** Every target that this host uses, over all pipelines. */
  all(): ReadonlySet<string> {
    return this.#all ??= this.#selectAll();
  }

  dispose(): void {
    this.#store.dispose();
  }

  #selectAll(): Set<string> {
    const { pipelines } = this.#options.config.state.config;
    const used = new Set<string>();
    for (const [name, pipeline] of Object.entries(pipelines)) {
      for (const target of this.select(name, pipelineTargets(pipeline))) {
        used.add(target);
      }
    }
    return used;
  }

  #selectFromGroup(key: string, group: readonly string[]): readonly string[] {
    const { membership } = this.#options;
    const hostCount = Math.max(1, membership.members().length);
    const minReplicas = this.#options.minReplicas ?? MIN_REPLICAS;
    const evenCount = Math.ceil(group.length * HOSTS_PER_TARGET / hostCount);
    const count = Math.max(minReplicas, evenCount);
    if (group.length <= count) return group;
    const ranked = rendezvousRank(`${membership.self.name} ${key}`, group);
    return this.#ownRegionFirst(ranked, count);
  }

  #ownRegionFirst(ranked: readonly string[], count: number): string[] {
    const { config, membership } = this.#options;
    const { targets } = config.state.config;
    const isLocal = (target: string) =>
      targets[target]?.region === membership.self.region;
    const local = ranked.filter(isLocal);
    const remote = ranked.filter((target) => !isLocal(target));
    const remoteGoal = Math.floor(count * REMOTE_SHARE);
    const localCount = Math.min(local.length, count - remoteGoal);
    const remoteCount = count - localCount;
    return [...local.slice(0, localCount), ...remote.slice(0, remoteCount)];
  }

  #spanKey(pipeline: string, target: string): string {
    const state = this.#options.directory.engineState(target);
    if (state && state.end > state.first) {
      return `${state.version} ${state.first}-${state.end}`;
    }
    const { pipelines } = this.#options.config.state.config;
    const stages = pipelines[pipeline]?.stages ?? [];
    const stage = stages.findIndex(({ targets }) => targets.includes(target));
    return `stage ${stage}`;
  }
}

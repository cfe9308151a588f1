/**
 * Which orders to send next, so that what targets publish comes to agree with
 * what is wanted. Orders that add capacity go first. One that takes a span
 * out of service waits until chains are whole without it, and few targets
 * load at a time, within the rate of the weight store.
 *
 * @module
 */

import type { Config } from "../config/schema.ts";
import type { EngineState } from "../clients/types.ts";
import { completeEdges, isUsable, spanEdge } from "./chain_graph.ts";
import type { Pool, WantedLoad } from "./placement.ts";

/** Share of a stage's targets that may be reloaded at a time. */
const RELOAD_SHARE = 0.25;

/** One order to send. */
export interface PlannedOrder {
  readonly wanted: WantedLoad;
  /** True when the target serves nothing now, so that nothing can be lost. */
  readonly onlyAdds: boolean;
}

/** Orders to send now, and targets that cannot be reloaded without a gap. */
export interface OrderPlan {
  readonly orders: readonly PlannedOrder[];
  readonly blocked: readonly string[];
  /** Targets to be ordered, loading or unknown, to be read back. */
  readonly targetsToRead: readonly string[];
  /** True when every wanted load is published and no target is loading. */
  readonly isSettled: boolean;
}

/** What a plan depends on. */
export interface OrderPlanInput {
  readonly config: Config;
  readonly pool: Pool;
  readonly wanted: readonly WantedLoad[];
  readonly stateOf: (target: string) => EngineState | undefined;
  /** True for a target that takes requests. */
  readonly isServing: (target: string) => boolean;
  /** True for a target of whose offer every host has had time to hear. */
  readonly isKnownToAllHosts: (target: string) => boolean;
  readonly maxLoads: number;
}

/** Plans the next orders of a pool. */
export function planOrders(input: OrderPlanInput): OrderPlan {
  const known = input.wanted.filter(({ target }) => input.stateOf(target));
  const pending = known.filter((wanted) =>
    !isPublished(wanted, input.stateOf(wanted.target))
  );
  const loading = known.filter(({ target }) => input.stateOf(target)!.loading);
  const loadingCount = loading.length;
  const serving = new ServingSpans(input);
  const orders: PlannedOrder[] = [];
  const blocked: string[] = [];
  const additions = pending.filter(({ target }) => !serving.isInUse(target));
  const reloads = pending.filter(({ target }) => serving.isInUse(target));
  for (const wanted of byFewestHolders(additions, input)) {
    if (loadingCount + orders.length >= input.maxLoads) break;
    orders.push({ wanted, onlyAdds: true });
  }
  for (const wanted of byFewestHolders(reloads, input)) {
    if (loadingCount + orders.length >= input.maxLoads) break;
    if (serving.tryTakeOutOfService(wanted)) {
      orders.push({ wanted, onlyAdds: false });
    } else blocked.push(wanted.target);
  }
  const isSettled = pending.length + loadingCount === 0 &&
    known.length === input.wanted.length;
  const targetsToRead = input.wanted.filter((wanted) =>
    !known.includes(wanted) || loading.includes(wanted) ||
    orders.some((order) => order.wanted === wanted)
  ).map(({ target }) => target);
  return { orders, blocked, targetsToRead: targetsToRead, isSettled };
}

/** True when the target publishes, or is loading, just what is wanted. */
function isPublished(
  wanted: WantedLoad,
  state: EngineState | undefined,
): boolean {
  return state !== undefined && state.first === wanted.first &&
    state.end === wanted.end && state.model === wanted.model &&
    state.version === wanted.version && state.role === wanted.role &&
    [...state.adapters].sort().join() === wanted.adapters.join();
}

/** Puts the loads first whose span the fewest targets hold as wanted. */
function byFewestHolders(
  loads: readonly WantedLoad[],
  input: OrderPlanInput,
): WantedLoad[] {
  const planned = new Map<string, number>();
  for (const wanted of input.wanted) {
    if (!isPublished(wanted, input.stateOf(wanted.target))) continue;
    const key = spanKey(wanted);
    planned.set(key, (planned.get(key) ?? 0) + 1);
  }
  const ordered: WantedLoad[] = [];
  const remaining = [...loads];
  while (remaining.length > 0) {
    const counts = remaining.map((wanted) => planned.get(spanKey(wanted)) ?? 0);
    const index = counts.indexOf(Math.min(...counts));
    const [next] = remaining.splice(index, 1);
    planned.set(spanKey(next), counts[index] + 1);
    ordered.push(next);
  }
  return ordered;
}

function spanKey({ model, first, end }: WantedLoad): string {
  return `${model} ${first}-${end}`;
}

interface ChainFilter {
  readonly excluded: ReadonlySet<string>;
  /** Leaves out what some hosts may not know yet. */
  readonly onlyKnownToAllHosts: boolean;
}

/** The spans that carry requests now, less those taken out by this plan. */
class ServingSpans {
  readonly #input: OrderPlanInput;
  readonly #serving: EngineState[];
  readonly #outOfService = new Set<string>();
  readonly #inUse: ReadonlySet<string>;

  constructor(input: OrderPlanInput) {
    this.#input = input;
    this.#serving = input.pool.targets
      .filter((target) => input.isServing(target))
      .map((target) => input.stateOf(target))
      .filter((state) => state !== undefined && !state.loading)
      .map((state) => state!);
    this.#inUse = this.#completeChainTargets();
  }

  /** True when the target is part of some whole chain. */
  isInUse(target: string): boolean {
    return this.#inUse.has(target);
  }

  /** Takes a target out, if every pipeline it serves stays whole without it. */
  tryTakeOutOfService(wanted: WantedLoad): boolean {
    if (this.#reloadsOf(wanted) >= this.#allowedReloads(wanted)) return false;
    const excluded = new Set([...this.#outOfService, wanted.target]);
    for (const name of this.#input.pool.pipelines) {
      const hasCompleteChain = (options: ChainFilter) =>
        this.#chainTargets(name, options).length > 0;
      if (
        !hasCompleteChain({
          excluded: this.#outOfService,
          onlyKnownToAllHosts: false,
        })
      ) continue;
      if (
        !hasCompleteChain({ excluded: excluded, onlyKnownToAllHosts: true })
      ) return false;
    }
    this.#outOfService.add(wanted.target);
    return true;
  }

  #reloadsOf(wanted: WantedLoad): number {
    return this.#input.wanted.filter(({ target, first, end }) => {
      if (first !== wanted.first || end !== wanted.end) return false;
      return this.#outOfService.has(target) ||
        this.#input.stateOf(target)?.loading === true;
    }).length;
  }

  #allowedReloads(wanted: WantedLoad): number {
    const holders = this.#input.wanted.filter(({ first, end }) =>
      first === wanted.first && end === wanted.end
    );
    return Math.max(1, Math.floor(holders.length * RELOAD_SHARE));
  }

  #completeChainTargets(): Set<string> {
    const all = { without: new Set<string>(), onlyKnownToAllHosts: false };
    return new Set(
      this.#input.pool.pipelines.flatMap((name) =>
        this.#chainTargets(name, all)
      ),
    );
  }

  /** Targets of the whole chains of any one version and adapter. */
  #chainTargets(name: string, options: ChainFilter): string[] {
    const { config } = this.#input;
    const { excluded: without, onlyKnownToAllHosts: knownToAll } = options;
    const { model, adapter, layerCount } = config.pipelines[name];
    const states = this.#serving.filter((state) =>
      state.model === model && !without.has(state.target) &&
      (!knownToAll || this.#input.isKnownToAllHosts(state.target))
    );
    const versions = new Set(states.map(({ version }) => version));
    const adapterOptions = adapter === undefined
      ? [undefined]
      : servedAdapters(states);
    const targets: string[] = [];
    for (const version of versions) {
      for (const servedAdapter of adapterOptions) {
        const edges = states
          .filter((state) =>
            isUsable(state, { model, version, adapter: servedAdapter })
          )
          .map((state) => spanEdge(state, config))
          .filter((edge) => edge !== undefined);
        const complete = completeEdges(edges, layerCount);
        targets.push(...complete.map(({ target }) => target));
      }
    }
    return targets;
  }
}

/** Adapters with which hosts may be serving now; undefined stands for none. */
function servedAdapters(
  states: readonly EngineState[],
): (string | undefined)[] {
  const published = new Set<string | undefined>(
    states.flatMap(({ adapters }) => adapters),
  );
  if (states.some(({ adapters }) => adapters.length === 0)) {
    published.add(undefined);
  }
  return [...published];
}

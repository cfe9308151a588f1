/**
 * Plans the next orders, which bring the published state of targets in line with
 * the wanted placement. Orders that add capacity go first. An order that takes a
 * span out of service waits until complete chains exist without it. The number
 * of concurrent loads is limited to what the weight store can serve.
 *
 * @module
 */

import type { Config } from "../config/schema.ts";
import type { EngineState } from "../clients/types.ts";
import { completeEdges, isUsable, spanEdge } from "./chain_graph.ts";
import type { Pool, WantedLoad } from "./placement.ts";

/** Share of a stage's targets that may be reloaded at the same time. */
const RELOAD_SHARE = 0.25;

export interface PlannedOrder {
  readonly wanted: WantedLoad;
  /** Whether the target is in no complete chain, so that the order removes no capacity. */
  readonly onlyAdds: boolean;
}

export interface OrderPlan {
  readonly orders: readonly PlannedOrder[];
  /** Targets whose reload would interrupt service now. */
  readonly blocked: readonly string[];
  /** Targets that have an order, are loading, or have no known state. */
  readonly targetsToRead: readonly string[];
  /** Whether every wanted load is published and no target is loading. */
  readonly isSettled: boolean;
}

export interface OrderPlanInput {
  readonly config: Config;
  readonly pool: Pool;
  readonly wanted: readonly WantedLoad[];
  readonly stateOf: (target: string) => EngineState | undefined;
  /** Whether the target accepts requests. */
  readonly isServing: (target: string) => boolean;
  /** Whether every host has had time to receive the target's current state. */
  readonly isKnownToAllHosts: (target: string) => boolean;
  readonly maxLoads: number;
}

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
  return { orders, blocked, targetsToRead, isSettled };
}

/** Whether the target publishes or is loading exactly the wanted load. */
function isPublished(
  wanted: WantedLoad,
  state: EngineState | undefined,
): boolean {
  return state !== undefined && state.first === wanted.first &&
    state.end === wanted.end && state.model === wanted.model &&
    state.version === wanted.version && state.role === wanted.role &&
    [...state.adapters].sort().join() === wanted.adapters.join();
}

/** Orders loads by how many targets hold their span as wanted, fewest first. */
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
  /** Excludes targets whose state some hosts may not know yet. */
  readonly onlyKnownToAllHosts: boolean;
}

/** The spans in service, without those that this plan takes out of service. */
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

  /** Whether the target is in some complete chain. */
  isInUse(target: string): boolean {
    return this.#inUse.has(target);
  }

  /** Takes a target out of service if no pipeline loses its last complete chain. */
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
      if (!hasCompleteChain({ excluded, onlyKnownToAllHosts: true })) {
        return false;
      }
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
    const all = { excluded: new Set<string>(), onlyKnownToAllHosts: false };
    return new Set(
      this.#input.pool.pipelines.flatMap((name) =>
        this.#chainTargets(name, all)
      ),
    );
  }

  /** Targets in complete chains of any single version and adapter. */
  #chainTargets(name: string, options: ChainFilter): string[] {
    const { config } = this.#input;
    const { excluded, onlyKnownToAllHosts } = options;
    const { model, adapter, layerCount } = config.pipelines[name];
    const states = this.#serving.filter((state) =>
      state.model === model && !excluded.has(state.target) &&
      (!onlyKnownToAllHosts || this.#input.isKnownToAllHosts(state.target))
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

/** Adapters that hosts may currently use; undefined means no adapter. */
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

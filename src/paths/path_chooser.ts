/**
 * Chooses paths for requests. Builds candidates from the target table, excludes
 * targets without memory for the whole request, and reserves that memory until
 * the request ends.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { EngineProfile, PathStage, Span } from "../ports/types.ts";
import { DomainLinks, tokenTransferMs } from "./domain_links.ts";
import {
  findPath,
  type FoundPath,
  type PathCandidate,
  type PathSearch,
} from "./path_finder.ts";
import type { Target } from "./target.ts";
import {
  expectedLayerMs,
  freeTokenLayers,
  prefillLayerMs,
} from "./target_cost.ts";
import type { TargetLimits } from "./target_limits.ts";
import type { TargetTable } from "./target_table.ts";

/**
 * Relative random noise on costs, so that hosts don't all choose the same path
 * at once. Above `COST_NOISE_BASE_HOSTS` it grows with the number of hosts,
 * since their knowledge of each other then covers less of the load.
 */
const COST_NOISE_SHARE = 1;
const COST_NOISE_BASE_HOSTS = 9;
/** Time per token for a hop between failure domains, without the link's own load. */
const CROSS_DOMAIN_DELAY_MS = 2;
/**
 * No new request uses a link with a longer backlog, since its first event would
 * be late.
 */
const MAX_LINK_WAIT_MS = 1_000;
/** Failure domains of which the best path is taken. */
const MAX_COMPARED_DOMAINS = 3;
/** Tokens over which a one-time delay is amortized, about half an answer. */
const AMORTIZATION_TOKENS = 100;

export interface PathChooserOptions {
  readonly targetTable: TargetTable;
  readonly clock: Clock;
  readonly domain: string;
  /** Number of hosts that choose paths, including this one. */
  readonly hosts?: () => number;
  readonly random?: () => number;
  /** Limits that targets name for their requests; none by default. */
  readonly limits?: Pick<
    TargetLimits,
    "canSend" | "pausedForMs" | "recordSend"
  >;
}

/** Requirements of a request on its path. */
export interface PathDemand {
  readonly service: string;
  readonly figures: EngineProfile;
  /** Estimated number of prompt and answer tokens. */
  readonly tokens: number;
  /** Targets that may run the first stage; undefined for any. */
  readonly allowedFirstTargets?: ReadonlySet<string>;
  readonly excluded?: ReadonlySet<string>;
  /** The path of a request in progress, whose first stage is kept. */
  readonly current?: readonly PathStage[];
}

/** Why a target takes no new request. */
export type Exclusion =
  | "not-ready"
  | "unresponsive"
  | "suspected"
  | "avoided"
  | "paused"
  | "full";

/** A path with its memory reserved until `release` is called. */
export interface ReservedPath extends FoundPath {
  release(): void;
}

export class PathChooser {
  readonly #targetTable: TargetTable;
  readonly #domain: string;
  readonly #hosts: () => number;
  readonly #links: DomainLinks;
  readonly #random: () => number;
  readonly #limits: PathChooserOptions["limits"];

  constructor(options: PathChooserOptions) {
    this.#hosts = options.hosts ?? (() => 1);
    this.#links = new DomainLinks({ clock: options.clock, hosts: this.#hosts });
    this.#targetTable = options.targetTable;
    this.#domain = options.domain;
    this.#random = options.random ?? Math.random;
    this.#limits = options.limits;
  }

  /** Returns undefined if no path has capacity now. */
  choose(demand: PathDemand): ReservedPath | undefined {
    const { figures, current } = demand;
    const candidates = this.#candidates(demand);
    const search = {
      layers: figures.layers,
      domain: this.#domain,
      firstStage: current?.[0],
      extraLayerMs: current && this.#prefillCost(demand, current),
      crossDomainHopMs: (from: string, to: string) =>
        this.#crossDomainHopMs(from, to, demand),
    };
    const found = this.#findWithinOneDomain(candidates, search) ??
      findPath({ ...search, candidates });
    return found && this.#reserve(found, demand);
  }

  /**
   * Finds a path whose stages are all in one failure domain: the links between
   * domains carry every prompt and token of a path that crosses them. Compares
   * the host's own domain with a few others, and tries the rest if these have
   * no capacity.
   */
  #findWithinOneDomain(
    candidates: readonly PathCandidate[],
    search: Omit<PathSearch, "candidates">,
  ): FoundPath | undefined {
    const byDomain = new Map<string, PathCandidate[]>();
    for (const candidate of candidates) {
      const group = byDomain.get(candidate.domain);
      if (group === undefined) byDomain.set(candidate.domain, [candidate]);
      else group.push(candidate);
    }
    const { firstStage } = search;
    const first = candidates.find(({ id }) => id === firstStage?.targetId);
    // A path that is kept in part stays in the domain of its first stage.
    const domains = firstStage === undefined
      ? this.#orderDomains([...byDomain.keys()])
      : first === undefined
      ? []
      : [first.domain];
    let best: FoundPath | undefined;
    for (const [index, domain] of domains.entries()) {
      if (index >= MAX_COMPARED_DOMAINS && best !== undefined) break;
      const found = findPath({
        ...search,
        candidates: byDomain.get(domain) ?? [],
      });
      if (found === undefined) continue;
      if (best === undefined || found.msPerToken < best.msPerToken) {
        best = found;
      }
    }
    return best;
  }

  /** The host's own domain first, then the others at random. */
  #orderDomains(domains: readonly string[]): string[] {
    return domains
      .map((domain) => ({
        domain,
        rank: domain === this.#domain ? -1 : this.#random(),
      }))
      .sort((a, b) => a.rank - b.rank)
      .map(({ domain }) => domain);
  }

  #crossDomainHopMs(from: string, to: string, demand: PathDemand): number {
    const waitMs = this.#links.waitMs(from, to);
    if (demand.current === undefined && waitMs > MAX_LINK_WAIT_MS) {
      return Infinity;
    }
    const tokenMs = tokenTransferMs(demand.figures);
    const firstMs = waitMs + demand.tokens * tokenMs;
    return CROSS_DOMAIN_DELAY_MS + tokenMs + firstMs / AMORTIZATION_TOKENS;
  }

  /** Whether any path exists, regardless of its capacity. */
  hasPath(service: string, figures: EngineProfile): boolean {
    const candidates = this.#targetTable.ofService(service).flatMap((target) =>
      target.isReady && target.span !== undefined
        ? [toCandidate(target, 1, true)]
        : []
    );
    return findPath({
      layers: figures.layers,
      candidates,
      domain: this.#domain,
    }) !== undefined;
  }

  /** Counts the targets with layers that take no new request, by the reason. */
  countExclusions(demand: PathDemand): Partial<Record<Exclusion, number>> {
    const counts: Partial<Record<Exclusion, number>> = {};
    for (const target of this.#targetTable.ofService(demand.service)) {
      if (target.span === undefined) continue;
      const exclusion = this.#exclusionOf(target, target.span, demand);
      if (exclusion === undefined) continue;
      counts[exclusion] = (counts[exclusion] ?? 0) + 1;
    }
    return counts;
  }

  #exclusionOf(
    target: Target,
    { from, to }: Span,
    { tokens, figures }: PathDemand,
  ): Exclusion | undefined {
    if (!target.isReady) return "not-ready";
    if (target.noResponseSinceMs !== undefined) return "unresponsive";
    if (!target.isResponsive) return "suspected";
    if (!target.isAvailable) return "avoided";
    if ((this.#limits?.pausedForMs(target.id) ?? 0) > 0) return "paused";
    const needed = tokens * (to - from);
    return freeTokenLayers(target, figures) < needed ? "full" : undefined;
  }

  #candidates(demand: PathDemand): PathCandidate[] {
    const { service, figures, excluded, current } = demand;
    const onPath = new Set(current?.map(({ targetId }) => targetId));
    const candidates: PathCandidate[] = [];
    const noiseRange = COST_NOISE_SHARE *
      Math.max(1, this.#hosts() / COST_NOISE_BASE_HOSTS);
    for (const target of this.#targetTable.ofService(service)) {
      const { span } = target;
      if (span === undefined || target.isRemoved || excluded?.has(target.id)) {
        continue;
      }
      if (!onPath.has(target.id)) {
        if (this.#exclusionOf(target, span, demand) !== undefined) continue;
      }
      const noise = 1 + this.#random() * noiseRange;
      const canBeFirst = (demand.allowedFirstTargets?.has(target.id) ?? true) &&
        target.ownLoad.streams + target.peerLoad.streams < figures.slots &&
        (this.#limits?.canSend(target.id) ?? true);
      const backlogMs = target.prefillBacklog.remainingMs /
        AMORTIZATION_TOKENS /
        (span.to - span.from);
      const costMs = expectedLayerMs(target, figures) * noise + backlogMs;
      candidates.push(toCandidate(target, costMs, canBeFirst));
    }
    return candidates;
  }

  /**
   * Cost of prefilling layers, except those that the target already runs on the
   * current path.
   */
  #prefillCost(
    demand: PathDemand,
    current: readonly PathStage[],
  ): (targetId: string, layer: number) => number {
    return (targetId, layer) => {
      if (runsLayer(current, targetId, layer)) return 0;
      const target = this.#targetTable.get(targetId);
      return target === undefined
        ? 0
        : prefillLayerMs(target, demand) / AMORTIZATION_TOKENS;
    };
  }

  #addPrefillWork(found: FoundPath, demand: PathDemand): void {
    for (const { targetId, from, to } of found.stages) {
      const target = this.#targetTable.get(targetId);
      if (target === undefined) continue;
      let layers = 0;
      for (let layer = from; layer < to; layer++) {
        if (!runsLayer(demand.current, targetId, layer)) layers++;
      }
      if (layers === 0) continue;
      // The other hosts are assumed to send as much to this target.
      const workMs = layers * prefillLayerMs(target, demand);
      target.prefillBacklog.add(workMs * this.#hosts());
    }
  }

  #reserve(found: FoundPath, demand: PathDemand): ReservedPath {
    const { tokens } = demand;
    // The first target of a path in progress receives no further request.
    if (demand.current === undefined) {
      this.#limits?.recordSend(found.stages[0].targetId);
    }
    this.#addPrefillWork(found, demand);
    this.#links.add({
      stages: found.stages,
      current: demand.current ?? [],
      domainOf: (id) => this.#targetTable.get(id)?.record.domain,
      transferMs: tokens * tokenTransferMs(demand.figures),
    });
    const reservations = found.stages.map((stage) => ({
      target: this.#targetTable.get(stage.targetId),
      tokenLayers: tokens * (stage.to - stage.from),
    }));
    for (const { target, tokenLayers } of reservations) {
      if (target === undefined) continue;
      target.ownLoad.streams++;
      target.ownLoad.tokenLayers += tokenLayers;
    }
    let isReserved = true;
    const release = (): void => {
      if (!isReserved) return;
      isReserved = false;
      for (const { target, tokenLayers } of reservations) {
        if (target === undefined) continue;
        target.ownLoad.streams--;
        target.ownLoad.tokenLayers -= tokenLayers;
      }
    };
    return { ...found, release };
  }
}

function toCandidate(
  target: Target,
  msPerLayer: number,
  canBeFirst: boolean,
): PathCandidate {
  return {
    id: target.id,
    address: target.record.address,
    domain: target.record.domain,
    span: target.span ?? { from: 0, to: 0 },
    msPerLayer,
    canBeFirst,
  };
}

/** Whether a stage of the path runs the layer on the target. */
function runsLayer(
  path: readonly PathStage[] | undefined,
  targetId: string,
  layer: number,
): boolean {
  return path?.some((stage) =>
    stage.targetId === targetId && layer >= stage.from && layer < stage.to
  ) ?? false;
}

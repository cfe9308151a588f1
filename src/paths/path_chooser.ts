/**
 * Chooses paths for requests. Builds candidates from the target table, excludes
 * targets without memory for the whole request, and reserves that memory until
 * the request ends.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { EngineProfile, PathStage } from "../ports/types.ts";
import {
  AMORTIZATION_TOKENS,
  estimatedCosts,
  expectedCosts,
  type TargetCosts,
} from "./candidate_costs.ts";
import {
  type ChoiceSpread,
  choiceSpread,
  EXPECTED_WORK,
} from "./choice_spread.ts";
import { DomainLinks, tokenTransferMs } from "./domain_links.ts";
import {
  findPath,
  type FoundPath,
  type PathCandidate,
  type PathSearch,
} from "./path_finder.ts";
import { type ReservedPath, reservePath } from "./path_reservation.ts";
import type { Target } from "./target.ts";
import { prefillLayerMs } from "./target_cost.ts";
import { type Exclusion, exclusionOf } from "./target_exclusion.ts";
import type { TargetLimits } from "./target_limits.ts";
import type { TargetTable } from "./target_table.ts";
import {
  layersToPrefill,
  pathTimes,
  runsLayer,
  type TimedRequest,
} from "./target_times.ts";

export type { ReservedPath } from "./path_reservation.ts";

/** Time per token for a hop between failure domains, without the link's own load. */
const CROSS_DOMAIN_DELAY_MS = 2;
/**
 * No new request uses a link with a longer backlog, since its first event would
 * be late.
 */
const MAX_LINK_WAIT_MS = 1_000;
/** Failure domains of which the best path is taken. */
const MAX_COMPARED_DOMAINS = 3;
export interface PathChooserOptions {
  readonly targetTable: TargetTable;
  readonly clock: Clock;
  readonly domain: string;
  /** Number of hosts that choose paths, including this one. */
  readonly hosts?: () => number;
  readonly random?: () => number;
  /** How the choices of hosts are spread; other values are for experiments. */
  readonly spread?: (hosts: number) => ChoiceSpread;
  /** Larger fleets select paths by cost and noise instead of the estimate. */
  readonly maxEstimatedHosts?: number;
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
  /** Tokens to prefill; by default all. */
  readonly promptTokens?: number;
  /** Targets that may run the first stage; undefined for any. */
  readonly allowedFirstTargets?: ReadonlySet<string>;
  readonly excluded?: ReadonlySet<string>;
  /** The path of a request in progress, whose first stage is kept. */
  readonly current?: readonly PathStage[];
}

/**
 * In larger fleets hosts hear of each other too late for the estimate: on a fleet
 * of 79 hosts it gave 1.1 to 1.9 s at the 99th percentile of the first event
 * where the costs with noise gave 0.2 to 0.6 s, although virtual days favour it.
 */
const MAX_ESTIMATED_HOSTS = 12;

/** Costs where only the existence of a path matters. */
const EQUAL_COSTS: TargetCosts = { msPerLayer: 1, entryMs: 0 };

/** A demand with what its choice depends on. */
interface Choice {
  readonly demand: PathDemand;
  readonly timed: TimedRequest;
  readonly search: Omit<PathSearch, "candidates">;
}

export class PathChooser {
  readonly #targetTable: TargetTable;
  readonly #domain: string;
  readonly #hosts: () => number;
  readonly #links: DomainLinks;
  readonly #random: () => number;
  readonly #clock: Clock;
  readonly #spread: (hosts: number) => ChoiceSpread;
  readonly #maxEstimatedHosts: number;
  readonly #limits: PathChooserOptions["limits"];

  constructor(options: PathChooserOptions) {
    this.#hosts = options.hosts ?? (() => 1);
    this.#links = new DomainLinks({ clock: options.clock, hosts: this.#hosts });
    this.#clock = options.clock;
    this.#spread = options.spread ?? choiceSpread;
    this.#maxEstimatedHosts = options.maxEstimatedHosts ?? MAX_ESTIMATED_HOSTS;
    this.#targetTable = options.targetTable;
    this.#domain = options.domain;
    this.#random = options.random ?? Math.random;
    this.#limits = options.limits;
  }

  /** Returns undefined if no path has capacity now. */
  choose(demand: PathDemand): ReservedPath | undefined {
    const choice = this.#choiceFor(demand);
    const found = this.#find(choice);
    return found && this.#reserve(found, choice);
  }

  /** Whether a path has capacity now. */
  hasFreePath(demand: PathDemand): boolean {
    return this.#find(this.#choiceFor(demand)) !== undefined;
  }

  #choiceFor(demand: PathDemand): Choice {
    const { figures, current } = demand;
    return {
      demand,
      timed: this.#timedRequest(demand),
      search: {
        layers: figures.layers,
        domain: this.#domain,
        firstStage: current?.[0],
        extraLayerMs: current && this.#prefillCost(demand, current),
        crossDomainHopMs: (from: string, to: string) =>
          this.#crossDomainHopMs(from, to, demand),
      },
    };
  }

  #find(choice: Choice): FoundPath | undefined {
    return this.#findAmongDrawn(choice) ?? this.#findAmongAll(choice);
  }

  /** Searches a random part of the targets, if choices are spread so. */
  #findAmongDrawn(choice: Choice): FoundPath | undefined {
    const share = choice.timed.spread.candidateShare;
    if (share >= 1 || !usesEstimate(choice)) return undefined;
    return this.#findWithinOneDomain(
      this.#candidates(choice, share),
      choice.search,
    );
  }

  #findAmongAll(choice: Choice): FoundPath | undefined {
    const candidates = this.#candidates(choice);
    return this.#findWithinOneDomain(candidates, choice.search) ??
      findPath({ ...choice.search, candidates });
  }

  #timedRequest(demand: PathDemand): TimedRequest {
    const hosts = this.#hosts();
    return {
      figures: demand.figures,
      promptTokens: demand.promptTokens ?? demand.tokens,
      spread: this.#spread(hosts),
      isReported: hosts === 1 || (hosts <= this.#maxEstimatedHosts &&
        this.#targetTable.ofService(demand.service).some(({ peerLoad }) =>
          peerLoad.prefillTokenLayers !== undefined
        )),
    };
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
        ? [toCandidate(target, { costs: EQUAL_COSTS, canBeFirst: true })]
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
      const exclusion = this.#exclusionOf(target, demand);
      if (exclusion === undefined) continue;
      counts[exclusion] = (counts[exclusion] ?? 0) + 1;
    }
    return counts;
  }

  #exclusionOf(
    target: Target,
    { tokens, figures }: PathDemand,
  ): Exclusion | undefined {
    return exclusionOf(target, { tokens, figures, limits: this.#limits });
  }

  /** Candidates, of which a random share is drawn. */
  #candidates(choice: Choice, share = 1): PathCandidate[] {
    const { demand, timed } = choice;
    const { service, figures, excluded, current } = demand;
    const onPath = new Set(current?.map(({ targetId }) => targetId));
    const candidates: PathCandidate[] = [];
    const costsOf = usesEstimate(choice)
      ? estimatedCosts(timed, this.#random)
      : expectedCosts(figures, { hosts: this.#hosts(), random: this.#random });
    for (const target of this.#targetTable.ofService(service)) {
      const { span } = target;
      if (share < 1 && this.#random() >= share) continue;
      if (span === undefined || target.isRemoved || excluded?.has(target.id)) {
        continue;
      }
      if (!onPath.has(target.id)) {
        if (this.#exclusionOf(target, demand) !== undefined) continue;
      }
      const canBeFirst = (demand.allowedFirstTargets?.has(target.id) ?? true) &&
        target.ownLoad.streams + target.peerLoad.streams < figures.slots &&
        (this.#limits?.canSend(target.id) ?? true);
      candidates.push(
        toCandidate(target, { costs: costsOf(target, span), canBeFirst }),
      );
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
    for (const stage of found.stages) {
      const target = this.#targetTable.get(stage.targetId);
      const layers = layersToPrefill(stage, demand.current);
      if (target === undefined || layers === 0) continue;
      // The other hosts are assumed to send as much to this target.
      const workMs = layers * prefillLayerMs(target, demand);
      target.prefillBacklog.add(workMs * this.#hosts());
    }
  }

  #reserve(found: FoundPath, { demand, timed }: Choice): ReservedPath {
    const { tokens } = demand;
    // The first target of a path in progress receives no further request.
    if (demand.current === undefined) {
      this.#limits?.recordSend(found.stages[0].targetId);
    }
    const estimate = pathTimes(found.stages, {
      targetTable: this.#targetTable,
      request: { ...timed, spread: { ...timed.spread, ...EXPECTED_WORK } },
      current: demand.current,
    });
    this.#addPrefillWork(found, demand);
    this.#links.add({
      stages: found.stages,
      current: demand.current ?? [],
      domainOf: (id) => this.#targetTable.get(id)?.record.domain,
      transferMs: tokens * tokenTransferMs(demand.figures),
    });
    return reservePath({
      ...estimate,
      stages: found.stages,
      current: demand.current,
      tokens,
      promptTokens: timed.promptTokens,
      targetTable: this.#targetTable,
      clock: this.#clock,
    });
  }
}

/**
 * Whether targets are compared by their estimated times. For a repath they are
 * not: many requests leave a lost target at the same moment, before any report.
 */
function usesEstimate({ demand, timed }: Choice): boolean {
  return demand.current === undefined && timed.isReported;
}

function toCandidate(
  target: Target,
  { costs, canBeFirst }: {
    readonly costs: TargetCosts;
    readonly canBeFirst: boolean;
  },
): PathCandidate {
  return {
    id: target.id,
    address: target.record.address,
    domain: target.record.domain,
    span: target.span ?? { from: 0, to: 0 },
    msPerLayer: costs.msPerLayer,
    entryMs: costs.entryMs,
    canBeFirst,
  };
}

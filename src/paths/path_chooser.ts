/**
 * Chooses paths for requests: turns what is known of targets into candidates,
 * leaves out those without memory for the whole request, and reserves that
 * memory until the request ends.
 *
 * @module
 */

import type { Clock } from "../common/clock.ts";
import type { EngineProfile, PathStage } from "../ports/types.ts";
import { DomainLinks, tokenTransferMs } from "./domain_links.ts";
import { findPath, type FoundPath, type PathCandidate } from "./path_finder.ts";
import type { Target } from "./target.ts";
import type { TargetTable } from "./target_table.ts";

/** Part of a target's memory that is left free: estimates of answers run over. */
const MEMORY_HEADROOM_SHARE = 0.06;
/** Extra cost of a nearly full target, relative to an empty one. */
const FULLNESS_WEIGHT = 1.0;
/**
 * Spread of costs between hosts, so that all don't pick the same path at once;
 * that many times over as hosts are more than `NOISE_HOSTS`, since what they
 * know of each other covers less of the load.
 */
const COST_NOISE_SHARE = 1;
const COST_NOISE_BASE_HOSTS = 9;
/** Requests of a target that wait at another stage at any moment. */
const ACTIVE_STREAM_SHARE = 0.3;
/** Time that the way between two failure domains adds to each token, without its pipe. */
const CROSS_DOMAIN_DELAY_MS = 2;
/** A pipe with more than this to carry takes no new request; it would be late at its first event. */
const MAX_LINK_WAIT_MS = 1_000;
/** Tokens over which a delay before the next one is spread, about half an answer. */
const AMORTIZATION_TOKENS = 100;

/** Options of a chooser. */
export interface PathChooserOptions {
  readonly targetTable: TargetTable;
  readonly clock: Clock;
  readonly domain: string;
  /** Hosts that choose paths at the same time, this one included. */
  readonly hosts?: () => number;
  readonly random?: () => number;
}

/** What a path must carry. */
export interface PathDemand {
  readonly service: string;
  readonly figures: EngineProfile;
  /** Tokens read and written, as far as can be told. */
  readonly tokens: number;
  /** The only targets that may be the first of the path; undefined for any. */
  readonly allowedFirstTargets?: ReadonlySet<string>;
  /** Targets to leave out. */
  readonly excluded?: ReadonlySet<string>;
  /** The path of a request in progress, whose first stage stays. */
  readonly current?: readonly PathStage[];
}

/** A path with its memory reserved; release it once. */
export interface ReservedPath extends FoundPath {
  release(): void;
}

/** Chooses and reserves paths. */
export class PathChooser {
  readonly #targetTable: TargetTable;
  readonly #domain: string;
  readonly #hosts: () => number;
  readonly #links: DomainLinks;
  readonly #random: () => number;

  constructor(options: PathChooserOptions) {
    this.#hosts = options.hosts ?? (() => 1);
    this.#links = new DomainLinks({ clock: options.clock, hosts: this.#hosts });
    this.#targetTable = options.targetTable;
    this.#domain = options.domain;
    this.#random = options.random ?? Math.random;
  }

  /** Undefined where no path has room now. */
  choose(demand: PathDemand): ReservedPath | undefined {
    const { figures, current } = demand;
    const candidates = this.#candidates(demand);
    const found = findPath({
      layers: figures.layers,
      candidates,
      domain: this.#domain,
      firstStage: current?.[0],
      extraLayerMs: current && this.#prefillCost(demand, current),
      crossDomainHopMs: (from, to) => this.#crossDomainHopMs(from, to, demand),
    });
    return found && this.#reserve(found, demand);
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

  /** Whether any path exists, room or not. */
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

  #candidates(demand: PathDemand): PathCandidate[] {
    const { service, figures, tokens, excluded, current } = demand;
    const onPath = new Set(current?.map(({ targetId }) => targetId));
    const candidates: PathCandidate[] = [];
    const spread = COST_NOISE_SHARE *
      Math.max(1, this.#hosts() / COST_NOISE_BASE_HOSTS);
    for (const target of this.#targetTable.ofService(service)) {
      const { span } = target;
      if (span === undefined || target.isRemoved || excluded?.has(target.id)) {
        continue;
      }
      if (!onPath.has(target.id)) {
        if (!target.isReady || !target.isAvailable) continue;
        const needed = tokens * (span.to - span.from);
        if (freeTokenLayers(target, figures) < needed) continue;
      }
      const noise = 1 + this.#random() * spread;
      const canLead = (demand.allowedFirstTargets?.has(target.id) ?? true) &&
        target.ownLoad.streams + target.peerLoad.streams < figures.slots;
      const backlogMs = target.prefillBacklog.remainingMs /
        AMORTIZATION_TOKENS /
        (span.to - span.from);
      const costMs = expectedLayerMs(target, figures) * noise + backlogMs;
      candidates.push(toCandidate(target, costMs, canLead));
    }
    return candidates;
  }

  /** Layers that a target of the present path already runs need no reading again. */
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
      // The other hosts are assumed to send as much there.
      const workMs = layers * prefillLayerMs(target, demand);
      target.prefillBacklog.add(workMs * this.#hosts());
    }
  }

  #reserve(found: FoundPath, demand: PathDemand): ReservedPath {
    const { tokens } = demand;
    this.#addPrefillWork(found, demand);
    this.#links.add({
      stages: found.stages,
      current: demand.current ?? [],
      domainOf: (id) => this.#targetTable.get(id)?.record.domain,
      transferMs: tokens * tokenTransferMs(demand.figures),
    });
    const held = found.stages.map((stage) => ({
      target: this.#targetTable.get(stage.targetId),
      tokenLayers: tokens * (stage.to - stage.from),
    }));
    for (const { target, tokenLayers } of held) {
      if (target === undefined) continue;
      target.ownLoad.streams++;
      target.ownLoad.tokenLayers += tokenLayers;
    }
    let isHeld = true;
    const release = (): void => {
      if (!isHeld) return;
      isHeld = false;
      for (const { target, tokenLayers } of held) {
        if (target === undefined) continue;
        target.ownLoad.streams--;
        target.ownLoad.tokenLayers -= tokenLayers;
      }
    };
    return { ...found, release };
  }
}

/** Memory for requests, in tokens x layers. */
export function totalTokenLayers(
  target: Target,
  figures: EngineProfile,
): number {
  const kind = figures.kinds.get(
    target.record.kind ?? target.report?.kind ?? "",
  );
  if (kind === undefined || target.span === undefined) return 0;
  const weightsMb = (target.span.to - target.span.from) * figures.layerMb;
  const bytesPerTokenLayer = figures.kvBytesPerToken / figures.layers;
  return Math.max(
    0,
    (kind.memoryMb - weightsMb) * 1_000_000 / bytesPerTokenLayer,
  );
}

/** Memory that no request has reserved, by this host's view. */
export function freeTokenLayers(
  target: Target,
  figures: EngineProfile,
): number {
  const usable = totalTokenLayers(target, figures) *
    (1 - MEMORY_HEADROOM_SHARE);
  return usable - target.ownLoad.tokenLayers - target.peerLoad.tokenLayers;
}

/** Expected time of one token on one layer of a target, with its present load. */
function expectedLayerMs(target: Target, figures: EngineProfile): number {
  const kind = figures.kinds.get(
    target.record.kind ?? target.report?.kind ?? "",
  );
  // A slow target also takes fewer requests a second, so its queue grows.
  const slowness = target.slowness ** 2;
  const pace = (kind?.decodeTimeFactor ?? 1) * slowness;
  const read = (kind?.prefillTimeFactor ?? 1) * slowness;
  const batch = (target.ownLoad.streams + target.peerLoad.streams) *
    ACTIVE_STREAM_SHARE;
  const contextK =
    (figures.typicalPromptTokens + figures.typicalAnswerTokens / 2) /
    1_000;
  const sequenceMs = figures.perSequenceMs +
    figures.contextPerKiloTokenMs * contextK;
  const stepMs = pace * (figures.stepMs + batch * sequenceMs);
  const readMs = read * figures.typicalPromptTokens /
    figures.prefillTokensPerMs /
    Math.max(1, figures.typicalAnswerTokens);
  const total = totalTokenLayers(target, figures);
  const fullness = total === 0
    ? 1
    : 1 - freeTokenLayers(target, figures) / total;
  return (stepMs + readMs) / figures.layers *
    (1 + FULLNESS_WEIGHT * Math.max(0, fullness) ** 2) *
    (1 + target.failureRate * 4);
}

function toCandidate(
  target: Target,
  msPerLayer: number,
  canLead: boolean,
): PathCandidate {
  return {
    id: target.id,
    address: target.record.address,
    domain: target.record.domain,
    span: target.span ?? { from: 0, to: 0 },
    msPerLayer,
    canBeFirst: canLead,
  };
}

/** Whether a stage of the present path runs a layer on a target. */
function runsLayer(
  path: readonly PathStage[] | undefined,
  targetId: string,
  layer: number,
): boolean {
  return path?.some((stage) =>
    stage.targetId === targetId && layer >= stage.from && layer < stage.to
  ) ?? false;
}

/** Time to read the context of a request, for one layer. */
function prefillLayerMs(
  target: Target,
  { figures, tokens }: PathDemand,
): number {
  const kind = figures.kinds.get(
    target.record.kind ?? target.report?.kind ?? "",
  );
  const factor = (kind?.prefillTimeFactor ?? 1) * target.slowness;
  return factor * tokens / figures.prefillTokensPerMs / figures.layers;
}

/**
 * Figures of a placement plan: capacity and prefill speed by failure domain, use
 * of the first-stage targets, and what the loss of three targets of one path
 * takes away.
 *
 * @module
 */

import { type Random, seededRandom } from "../../src/common/random.ts";
import type { PlannedOrder } from "../../src/placement/types.ts";
import type { Span } from "../../src/ports/types.ts";
import type { Fleet, FleetTarget } from "./fleets.ts";
import { type PlacedStream, runStreams } from "./plan_streams.ts";
import { sharedCapacity } from "./shared_capacity.ts";

/** Paths of which the loss of three targets is tried, and losses of each path. */
const SAMPLED_PATHS = 120;
const LOSSES_PER_PATH = 12;
const LOST_TARGETS = 3;

export interface PlanFigures {
  /** Shares of the running streams that one loss touches. */
  readonly touchedMean: number;
  readonly touchedWorst: number;
  /** Share of the running streams whose first stage a loss takes, in the mean. */
  readonly firstLostMean: number;
  readonly firstLostWorst: number;
  /** Share of losses after which every domain still has a whole path. */
  readonly wholeInEachDomain: number;
  /** Streams of the busiest first-stage target, relative to the mean of all targets. */
  readonly busiestFirst: number;
  /** Number of targets that hold the first layer, by domain. */
  readonly firstHolders: readonly number[];
  /** Concurrent tokens that fit into memory, in thousands, by domain. */
  readonly kiloTokens: readonly number[];
  /** Prefill speed without decoding, in thousand tokens per second, by domain. */
  readonly prefillKiloTokensPerS: readonly number[];
  readonly stages: number;
  readonly msPerToken: number;
  readonly withoutPath: number;
}

interface PlacedTarget extends FleetTarget {
  readonly placed: Span;
}

export function measurePlan(
  fleet: Fleet,
  orders: readonly PlannedOrder[],
  seed: number,
): PlanFigures {
  const spans = new Map(orders.map(({ targetId, span }) => [targetId, span]));
  const placed = fleet.targets.flatMap((target) => {
    const span = spans.get(target.id);
    return span === undefined ? [] : [{ ...target, placed: span }];
  });
  const domains = [...new Set(fleet.targets.map(({ domain }) => domain))];
  const byDomain = domains.map((domain) =>
    placed.filter((target) => target.domain === domain)
  );
  const { streams, withoutPath } = runStreams(fleet, orders, seed);
  return {
    ...measureLosses(streams, byDomain, seededRandom(seed)),
    busiestFirst: busiestFirstOf(streams, fleet.targets.length),
    firstHolders: byDomain.map((targets) =>
      targets.filter(({ placed }) => placed.from === 0).length
    ),
    kiloTokens: byDomain.map((targets) => tokensOf(fleet, targets) / 1_000),
    prefillKiloTokensPerS: byDomain.map((targets) =>
      prefillTokensPerMs(fleet, targets)
    ),
    stages: meanOf(streams.map(({ targetIds }) => targetIds.length)),
    msPerToken: meanOf(streams.map(({ msPerToken }) => msPerToken)),
    withoutPath,
  };
}

function tokensOf(
  { figures }: Fleet,
  targets: readonly PlacedTarget[],
): number {
  const bytesPerTokenLayer = figures.kvBytesPerToken / figures.layers;
  const holders = targets.map(({ placed: span, memoryMb }) => ({
    span,
    amount: (memoryMb - (span.to - span.from) * figures.layerMb) * 1_000_000 /
      bytesPerTokenLayer,
  }));
  return sharedCapacity(holders, figures.layers);
}

function prefillTokensPerMs(
  { figures }: Fleet,
  targets: readonly PlacedTarget[],
): number {
  const holders = targets.map(({ placed: span, kind }) => ({
    span,
    amount: figures.prefillTokensPerMs * figures.layers /
      (figures.kinds.get(kind)?.prefillTimeFactor ?? 1),
  }));
  return sharedCapacity(holders, figures.layers);
}

function busiestFirstOf(
  streams: readonly PlacedStream[],
  targetCount: number,
): number {
  const counts = new Map<string, number>();
  for (const { targetIds: [first] } of streams) {
    counts.set(first, (counts.get(first) ?? 0) + 1);
  }
  return Math.max(0, ...counts.values()) * targetCount / streams.length;
}

function measureLosses(
  streams: readonly PlacedStream[],
  byDomain: readonly (readonly PlacedTarget[])[],
  random: Random,
) {
  const touched: number[] = [];
  const firstLost: number[] = [];
  let whole = 0;
  // The load has settled in the second half of the run.
  const settled = streams.slice(streams.length / 2);
  for (let path = 0; path < SAMPLED_PATHS; path++) {
    const { targetIds, startMs } =
      settled[Math.floor(random() * settled.length)];
    const running = streams.filter((one) =>
      one.startMs <= startMs && one.endMs > startMs
    );
    for (let loss = 0; loss < LOSSES_PER_PATH; loss++) {
      const lost = drawLost(targetIds, random);
      const shareOf = (isHit: (stream: PlacedStream) => boolean) =>
        running.filter(isHit).length / running.length;
      touched.push(shareOf((one) => one.targetIds.some((id) => lost.has(id))));
      firstLost.push(shareOf((one) => lost.has(one.targetIds[0])));
      if (byDomain.every((targets) => isWholeWithout(targets, lost))) whole++;
    }
  }
  return {
    touchedMean: meanOf(touched),
    touchedWorst: Math.max(...touched),
    firstLostMean: meanOf(firstLost),
    firstLostWorst: Math.max(...firstLost),
    wholeInEachDomain: whole / touched.length,
  };
}

function drawLost(ids: readonly string[], random: Random): Set<string> {
  const lost = new Set<string>();
  while (lost.size < Math.min(LOST_TARGETS, ids.length)) {
    lost.add(ids[Math.floor(random() * ids.length)]);
  }
  return lost;
}

/** Whether the targets that are left hold every layer that all of them held. */
function isWholeWithout(
  targets: readonly PlacedTarget[],
  lost: ReadonlySet<string>,
): boolean {
  const layers = Math.max(...targets.map(({ placed }) => placed.to));
  const left = targets.filter(({ id }) => !lost.has(id));
  return Array.from({ length: layers }, (_, layer) => layer).every((layer) =>
    left.some(({ placed }) => layer >= placed.from && layer < placed.to)
  );
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

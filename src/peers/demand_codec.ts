/**
 * The demand for each service by rank, as hosts send it in their states and
 * relays sum it up in digests, and the prefill work beside the loads of targets.
 * Both lists are apart from the others, so that a fault in them costs only them
 * and earlier versions read the rest.
 *
 * @module
 */

/** Ranks of a service that are sent; further ones are added to the last. */
export const MAX_RANKS = 32;
/** Services that are sent, those of most requests first. */
const MAX_SERVICES = 64;
/** Ranks outside +/- this are malformed. */
const MAX_RANK = 1_000_000;
/** More requests of one rank than this at one host are malformed. */
export const MAX_HOST_REQUESTS = 10_000;
/** The same for the hosts of a failure domain. */
export const MAX_DOMAIN_REQUESTS = 1_000_000;
/** An older list is malformed; a much younger one no longer counts. */
const MAX_AGE_MS = 60_000;

/** Requests of one rank. */
export interface RankDemand {
  /** 0 is the most urgent of new requests; those that resume have -1. */
  readonly rank: number;
  readonly offeredPerS: number;
  readonly startedPerS: number;
  /** Requests that wait now. */
  readonly waiting: number;
}

/** Requests for one service, by increasing rank. */
export interface ServiceDemand {
  readonly service: string;
  readonly ranks: readonly RankDemand[];
}

/** Demand of one host or failure domain, and when it was summed up. */
export interface AgedDemand {
  readonly demand: readonly ServiceDemand[];
  readonly ageMs: number;
}

/** Demand of one other host or of a failure domain, as received. */
export interface ReceivedDemand extends AgedDemand {
  /** Whether demand at this host is part of it. */
  readonly includesOwn: boolean;
}

/** Sums up demand of several sources, with at most `MAX_RANKS` ranks a service. */
export function sumDemand(
  sources: Iterable<readonly ServiceDemand[]>,
): ServiceDemand[] {
  const sums = new Map<string, Map<number, RankDemand>>();
  for (const source of sources) {
    for (const { service, ranks } of source) {
      const sum = sums.get(service) ?? new Map<number, RankDemand>();
      sums.set(service, sum);
      for (const one of ranks) addRank(sum, one);
    }
  }
  return [...sums].map(([service, sum]) => ({
    service,
    ranks: foldRanks([...sum.values()]),
  }));
}

/** `sum` without one of the parts that it was made of. */
export function subtractDemand(
  sum: readonly ServiceDemand[],
  part: readonly ServiceDemand[],
): ServiceDemand[] {
  const parts = new Map(part.map(({ service, ranks }) => [service, ranks]));
  return sum.map(({ service, ranks }) => ({
    service,
    ranks: ranks.map((one) => {
      const own = parts.get(service)?.find(({ rank }) => rank === one.rank);
      if (own === undefined) return one;
      return {
        rank: one.rank,
        offeredPerS: Math.max(0, one.offeredPerS - own.offeredPerS),
        startedPerS: Math.max(0, one.startedPerS - own.startedPerS),
        waiting: Math.max(0, one.waiting - own.waiting),
      };
    }),
  }));
}

/** Sorts ranks and adds those after the first `MAX_RANKS` to the last of these. */
export function foldRanks(ranks: readonly RankDemand[]): RankDemand[] {
  const sorted = [...ranks].sort((a, b) => a.rank - b.rank);
  const kept = new Map<number, RankDemand>();
  const last = sorted[Math.min(sorted.length, MAX_RANKS) - 1]?.rank;
  for (const one of sorted) {
    addRank(kept, { ...one, rank: Math.min(one.rank, last) });
  }
  return [...kept.values()];
}

function addRank(sum: Map<number, RankDemand>, one: RankDemand): void {
  const known = sum.get(one.rank);
  sum.set(one.rank, {
    rank: one.rank,
    offeredPerS: one.offeredPerS + (known?.offeredPerS ?? 0),
    startedPerS: one.startedPerS + (known?.startedPerS ?? 0),
    waiting: one.waiting + (known?.waiting ?? 0),
  });
}

/** Each service is a list: its name, then four numbers for each rank. */
export function encodeDemand(
  demand: readonly ServiceDemand[],
  maxRequests: number,
): unknown[] {
  const count = (value: number): number =>
    Math.min(maxRequests, Math.round(value));
  return [...demand].sort((a, b) => weightOf(b) - weightOf(a))
    .slice(0, MAX_SERVICES)
    .map(({ service, ranks }) => [
      service,
      ...foldRanks(ranks).flatMap((one) => [
        one.rank,
        count(one.offeredPerS),
        count(one.startedPerS),
        count(one.waiting),
      ]),
    ]);
}

/** Undefined for a malformed list: a part of it would look like the whole. */
export function decodeDemand(
  value: unknown,
  maxRequests: number,
): ServiceDemand[] | undefined {
  if (!Array.isArray(value) || value.length > MAX_SERVICES) return undefined;
  const isCount = (field: unknown): field is number =>
    Number.isSafeInteger(field) && (field as number) >= 0 &&
    (field as number) <= maxRequests;
  const demand: ServiceDemand[] = [];
  for (const one of value) {
    if (!Array.isArray(one) || one.length > 1 + 4 * MAX_RANKS) return undefined;
    const [service, ...fields] = one;
    if (typeof service !== "string") return undefined;
    const ranks: RankDemand[] = [];
    for (let i = 0; i < fields.length; i += 4) {
      const [rank, offeredPerS, startedPerS, waiting] = fields.slice(i, i + 4);
      if (
        !isRank(rank) || !isCount(offeredPerS) || !isCount(startedPerS) ||
        !isCount(waiting)
      ) return undefined;
      ranks.push({ rank, offeredPerS, startedPerS, waiting });
    }
    demand.push({ service, ranks });
  }
  return demand;
}

/** The age, then the services. */
export function encodeAgedDemand({ demand, ageMs }: AgedDemand): unknown[] {
  return [Math.round(ageMs), ...encodeDemand(demand, MAX_DOMAIN_REQUESTS)];
}

/** Undefined for a malformed list, and for one from the future. */
export function decodeAgedDemand(value: unknown): AgedDemand | undefined {
  if (!Array.isArray(value)) return undefined;
  const [ageMs, ...services] = value;
  const isAge = Number.isSafeInteger(ageMs) && ageMs >= 0 &&
    ageMs <= MAX_AGE_MS;
  const demand = decodeDemand(services, MAX_DOMAIN_REQUESTS);
  return isAge && demand !== undefined ? { demand, ageMs } : undefined;
}

/** In the order of the uses; undefined if no use has a value. */
export function encodePrefill(
  uses: readonly { readonly prefillTokenLayers?: number }[],
): number[] | undefined {
  if (uses.every((use) => use.prefillTokenLayers === undefined)) {
    return undefined;
  }
  return uses.map((use) => Math.round(use.prefillTokenLayers ?? 0));
}

/** Undefined unless there is a valid value for each use. */
export function decodePrefill(
  value: unknown,
  useCount: number,
): number[] | undefined {
  const isValid = Array.isArray(value) && value.length === useCount &&
    value.every((one) =>
      typeof one === "number" && Number.isFinite(one) && one >= 0
    );
  return isValid ? value : undefined;
}

function isRank(value: unknown): value is number {
  return Number.isSafeInteger(value) && Math.abs(value as number) <= MAX_RANK;
}

function weightOf({ ranks }: ServiceDemand): number {
  return ranks.reduce((sum, one) => sum + one.offeredPerS + one.waiting, 0);
}

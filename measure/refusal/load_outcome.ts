/**
 * Summarizes what the callers of a simulated load got.
 *
 * @module
 */

import type { LoadOutcome, LoadRequest } from "./types.ts";

/** Value of a late response; the operators name a quarter to a half. */
const LATE_VALUE = 0.375;
/** Value of a request: a fixed part, and a part in proportion to its size. */
const FIXED_VALUE = 0.3;
const SIZE_VALUE = 0.7;
/** Smaller groups are left out, since their shares are mostly noise. */
const MIN_GROUP_SIZE = 10;
const PEAK_WINDOW_MS = 500;

export function summarizeLoad(
  requests: readonly LoadRequest[],
  returnsAtMs: readonly number[],
): LoadOutcome {
  const shareOf = (end: LoadRequest["end"]): number =>
    requests.filter((request) => request.end === end).length / requests.length;
  const kinds = groupBy(requests, ({ rank }) => rank);
  const ranks = [...kinds.keys()].sort();
  const ofRank = (rank: number): LoadRequest[] => kinds.get(rank) ?? [];
  return {
    requests,
    value: valueShare(requests),
    inTime: shareOf("in-time"),
    late: shareOf("late"),
    refused: shareOf("refused"),
    left: shareOf("left"),
    worstSecond: lowestOf(
      groupBy(requests, ({ firstMs }) => Math.floor(firstMs / 1_000)),
    ),
    worstKind: lowestOf(kinds),
    worstCustomer: lowestOf(groupBy(requests, ({ customer }) => customer)),
    largestTenth: Math.min(...ranks.map((rank) => largestTenth(ofRank(rank)))),
    servedByRank: ranks.map((rank) => meanOf(ofRank(rank), isServed)),
    inTimeByRank: ranks.map((rank) =>
      meanOf(ofRank(rank), ({ end }) => end === "in-time" ? 1 : 0)
    ),
    peakReturns: Math.max(0, ...countByWindow(returnsAtMs)),
  };
}

function countByWindow(timesMs: readonly number[]): number[] {
  const windows = groupBy(timesMs, (atMs) => Math.floor(atMs / PEAK_WINDOW_MS));
  return [...windows.values()].map(({ length }) => length);
}

/** Value that callers got, relative to all responses in time. */
function valueShare(requests: readonly LoadRequest[]): number {
  let possible = 0;
  let got = 0;
  for (const { relativeSize, end } of requests) {
    const value = FIXED_VALUE + SIZE_VALUE * relativeSize;
    possible += value;
    got += value * (end === "in-time" ? 1 : end === "late" ? LATE_VALUE : 0);
  }
  return got / possible;
}

function isServed({ end }: LoadRequest): number {
  return end === "in-time" || end === "late" ? 1 : 0;
}

function largestTenth(kind: readonly LoadRequest[]): number {
  const bySize = [...kind].sort((a, b) => b.relativeSize - a.relativeSize);
  const largest = bySize.slice(0, Math.ceil(kind.length / 10));
  return meanOf(largest, isServed) / meanOf(kind, isServed);
}

function lowestOf(groups: ReadonlyMap<number, readonly LoadRequest[]>): number {
  const shares = [...groups.values()]
    .filter(({ length }) => length >= MIN_GROUP_SIZE)
    .map(valueShare);
  return Math.min(...shares);
}

function groupBy<T>(
  items: readonly T[],
  keyOf: (item: T) => number,
): Map<number, T[]> {
  const groups = new Map<number, T[]>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [item]);
    else group.push(item);
  }
  return groups;
}

function meanOf<T>(items: readonly T[], pick: (item: T) => number): number {
  return items.reduce((sum, item) => sum + pick(item), 0) / items.length;
}

/**
 * What callers got of a day.
 *
 * @module
 */

import { quantileOf } from "../chains/fakes.ts";
import type { DayOutcome, DayRequest } from "./types.ts";

const WINDOW_MS = 2_000;
/** Groups of fewer requests say little. */
const LEAST_GROUP = 10;

export function summarize(
  requests: readonly DayRequest[],
  durationMs: number,
): DayOutcome {
  const shareOf = (end: DayRequest["end"]) =>
    requests.filter((request) => request.end === end).length / requests.length;
  const firstsMs = requests.flatMap(({ firstMs }) => firstMs ?? []);
  const windows = Array.from(
    { length: Math.floor(durationMs / WINDOW_MS) },
    (_, index) =>
      shareInTime(
        requests.filter(({ startMs }) =>
          Math.floor(startMs / WINDOW_MS) === index
        ),
      ),
  );
  return {
    requests,
    inTime: shareOf("in-time"),
    late: shareOf("late"),
    refused: shareOf("refused"),
    worstCustomer: worstOf(requests, ({ customer }) => customer),
    worstKind: worstOf(requests, ({ kind }) => kind),
    worstWindow: Math.min(...windows),
    firstP50Ms: quantileOf(firstsMs, 0.5),
    firstP95Ms: quantileOf(firstsMs, 0.95),
    windows,
  };
}

function worstOf(
  requests: readonly DayRequest[],
  groupOf: (request: DayRequest) => string,
): number {
  const groups = new Map<string, DayRequest[]>();
  for (const request of requests) {
    const group = groupOf(request);
    groups.set(group, [...groups.get(group) ?? [], request]);
  }
  const shares = [...groups.values()]
    .filter(({ length }) => length >= LEAST_GROUP).map(shareInTime);
  return Math.min(...shares);
}

function shareInTime(requests: readonly DayRequest[]): number {
  if (requests.length === 0) return 1;
  return requests.filter(({ end }) => end === "in-time").length /
    requests.length;
}

/**
 * Summarizes the outcomes of the simulated requests.
 *
 * @module
 */

import { quantileOf } from "../chains/fakes.ts";
import type { SimulatedRequest, SimulationOutcome } from "./types.ts";

const WINDOW_MS = 2_000;
/** Smaller groups are left out, since their shares are mostly noise. */
const MIN_GROUP_SIZE = 10;

export function summarize(
  requests: readonly SimulatedRequest[],
  { durationMs, sendsByFirst }: {
    readonly durationMs: number;
    /** Sends by their first target. */
    readonly sendsByFirst: ReadonlyMap<string, number>;
  },
): SimulationOutcome {
  const shareOf = (end: SimulatedRequest["end"]) =>
    requests.filter((request) => request.end === end).length / requests.length;
  const firstEventsMs = requests.flatMap(({ firstEventMs: firstMs }) =>
    firstMs ?? []
  );
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
    worstCustomer: worstShareOf(requests, ({ customer }) => customer),
    worstKind: worstShareOf(requests, ({ kind }) => kind),
    worstWindow: Math.min(...windows),
    firstP50Ms: quantileOf(firstEventsMs, 0.5),
    firstP95Ms: quantileOf(firstEventsMs, 0.95),
    estimateErrorP50: quantileOf(
      requests.flatMap(({ estimate }) =>
        estimate === undefined
          ? []
          : Math.abs(estimate.estimatedMs - estimate.observedMs) /
            estimate.observedMs
      ),
      0.5,
    ),
    busiestFirst: busiestOf([...sendsByFirst.values()]),
    windows,
  };
}

/** The largest count relative to the mean. */
function busiestOf(counts: readonly number[]): number {
  const sum = counts.reduce((a, b) => a + b, 0);
  return sum === 0 ? 0 : Math.max(...counts) * counts.length / sum;
}

function worstShareOf(
  requests: readonly SimulatedRequest[],
  groupOf: (request: SimulatedRequest) => string,
): number {
  const groups = new Map<string, SimulatedRequest[]>();
  for (const request of requests) {
    const group = groupOf(request);
    groups.set(group, [...groups.get(group) ?? [], request]);
  }
  const shares = [...groups.values()]
    .filter(({ length }) => length >= MIN_GROUP_SIZE).map(shareInTime);
  return Math.min(...shares);
}

function shareInTime(requests: readonly SimulatedRequest[]): number {
  if (requests.length === 0) return 1;
  return requests.filter(({ end }) => end === "in-time").length /
    requests.length;
}

/**
 * Loads that exceed the capacity: the bursts of `docs/hard-load.md`, at few and at
 * many hosts, an overload that lasts, and one of the most urgent kind alone.
 *
 * @module
 */

import type { QueueLoad } from "./types.ts";

const BURSTS = [
  { rank: 2, factor: 2.6, fromMs: 3_000, toMs: 9_300 },
  { rank: 0, factor: 1.9, fromMs: 9_300, toMs: 12_800 },
];

export const QUEUE_LOADS: Readonly<
  Record<string, Omit<QueueLoad, "seed" | "order">>
> = {
  "bursts, 4 hosts": {
    hosts: 4,
    requestsPerS: 60,
    utilization: 0.85,
    bursts: BURSTS,
    durationMs: 18_000,
  },
  "bursts, 79 hosts": {
    hosts: 79,
    requestsPerS: 280,
    utilization: 0.85,
    bursts: BURSTS,
    durationMs: 18_000,
  },
  "lasting overload, 4 hosts": {
    hosts: 4,
    requestsPerS: 60,
    utilization: 1.4,
    bursts: [],
    durationMs: 18_000,
  },
  "twice the capacity, 4 hosts": {
    hosts: 4,
    requestsPerS: 60,
    utilization: 2,
    bursts: [],
    durationMs: 18_000,
  },
  "most urgent kind above the capacity, 4 hosts": {
    hosts: 4,
    requestsPerS: 40,
    utilization: 0.85,
    bursts: [{ rank: 0, factor: 9, fromMs: 0, toMs: 18_000 }],
    durationMs: 18_000,
  },
};

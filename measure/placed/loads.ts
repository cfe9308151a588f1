/**
 * Loads that the plan, the choice of paths and the queue answer.
 *
 * @module
 */

import type { LoadProfile } from "./types.ts";

/** Requests a second on the users' site. */
const USUAL_REQUESTS_PER_S = 45;
/** When trouble begins, and how long a burst lasts. */
const EVENT_START_MS = 8_000;
const BURST_MS = 5_000;

export const LOADS: readonly LoadProfile[] = [
  { name: "usual", requestsPerS: USUAL_REQUESTS_PER_S },
  {
    name: "burst",
    requestsPerS: USUAL_REQUESTS_PER_S,
    burst: {
      factor: 3,
      fromMs: EVENT_START_MS,
      toMs: EVENT_START_MS + BURST_MS,
    },
  },
  {
    name: "one target lost",
    requestsPerS: USUAL_REQUESTS_PER_S,
    lost: { atMs: EVENT_START_MS, ids: ["middle-large-0"] },
  },
  {
    name: "one of each domain lost",
    requestsPerS: USUAL_REQUESTS_PER_S,
    lost: {
      atMs: EVENT_START_MS,
      ids: ["north-large-0", "middle-middle-0", "south-large-1"],
    },
  },
];

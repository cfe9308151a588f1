/**
 * Load profiles that exercise placement, path selection and the wait queue.
 *
 * @module
 */

import type { LoadProfile } from "./types.ts";

/** Request rate at the reference site. */
const USUAL_REQUESTS_PER_S = 45;
/** Start of the burst or of the loss of targets. */
const DISTURBANCE_START_MS = 8_000;
const BURST_MS = 5_000;

export const LOADS: readonly LoadProfile[] = [
  { name: "usual", requestsPerS: USUAL_REQUESTS_PER_S },
  {
    name: "burst",
    requestsPerS: USUAL_REQUESTS_PER_S,
    burst: {
      factor: 3,
      fromMs: DISTURBANCE_START_MS,
      toMs: DISTURBANCE_START_MS + BURST_MS,
    },
  },
  {
    name: "one target lost",
    requestsPerS: USUAL_REQUESTS_PER_S,
    lost: { atMs: DISTURBANCE_START_MS, ids: ["middle-large-0"] },
  },
  {
    name: "one of each domain lost",
    requestsPerS: USUAL_REQUESTS_PER_S,
    lost: {
      atMs: DISTURBANCE_START_MS,
      ids: ["north-large-0", "middle-middle-0", "south-large-1"],
    },
  },
];

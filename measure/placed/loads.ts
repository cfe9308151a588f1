/**
 * Loads that the plan, the choice of paths and the queue answer.
 *
 * @module
 */

import type { DayLoad } from "./types.ts";

/** Requests a second on the users' site. */
const USUAL_PER_S = 45;
/** When trouble begins, and how long a burst lasts. */
const TROUBLE_MS = 8_000;
const BURST_MS = 5_000;

export const LOADS: readonly DayLoad[] = [
  { name: "usual", requestsPerS: USUAL_PER_S },
  {
    name: "burst",
    requestsPerS: USUAL_PER_S,
    burst: { factor: 3, fromMs: TROUBLE_MS, toMs: TROUBLE_MS + BURST_MS },
  },
  {
    name: "one target lost",
    requestsPerS: USUAL_PER_S,
    lost: { atMs: TROUBLE_MS, ids: ["middle-large-0"] },
  },
  {
    name: "one of each domain lost",
    requestsPerS: USUAL_PER_S,
    lost: {
      atMs: TROUBLE_MS,
      ids: ["north-large-0", "middle-middle-0", "south-large-1"],
    },
  },
];

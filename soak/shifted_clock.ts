/**
 * Preloaded into a host process: SIGUSR2 shifts its wall clock. The monotonic
 * clock is not affected.
 *
 * @module
 */

import process from "node:process";

/** Applied in turn: forward by an hour, back to before the start, slightly forward. */
const JUMPS_MS = [3_600_000, -7_200_000, 400];

const realNow = Date.now;
let offsetMs = 0;
let jumps = 0;
Date.now = () => realNow() + offsetMs;
process.on("SIGUSR2", () => {
  offsetMs += JUMPS_MS[jumps++ % JUMPS_MS.length];
});

/**
 * Loaded into a host before its own program: a signal makes the wall clock
 * jump. The monotonic clock goes on.
 *
 * @module
 */

import process from "node:process";

/** Jumps by turns: forward by an hour, back beyond the start, a little forward. */
const JUMPS_MS = [3_600_000, -7_200_000, 400];

const realNow = Date.now;
let offsetMs = 0;
let jumps = 0;
Date.now = () => realNow() + offsetMs;
process.on("SIGUSR2", () => {
  offsetMs += JUMPS_MS[jumps++ % JUMPS_MS.length];
});

/**
 * Draws random requests modelled on the reference site: three kinds of request,
 * a few customers that send most of them, and answers whose length callers can
 * only estimate.
 *
 * @module
 */

import type { Random } from "../../src/common/random.ts";
import type { LoadProfile, SimulatedRequest } from "./types.ts";

const CUSTOMERS = 24;
/** One customer in this many has the higher priority (rank 0). */
const URGENT_EVERY = 8;
const KINDS = [
  { name: "brief", share: 0.54, promptTokens: 800, answerTokens: 170 },
  { name: "check", share: 0.28, promptTokens: 714, answerTokens: 280 },
  { name: "notes", share: 0.18, promptTokens: 800, answerTokens: 280 },
];

/** Draws the exponentially distributed time until the next request. */
export function drawInterarrivalMs(
  { requestsPerS, burst }: LoadProfile,
  nowMs: number,
  random: Random,
): number {
  const isBurst = burst !== undefined && nowMs >= burst.fromMs &&
    nowMs < burst.toMs;
  const ratePerMs = requestsPerS * (isBurst ? burst.factor : 1) / 1_000;
  return -Math.log(1 - random()) / ratePerMs;
}

export function drawRequest(nowMs: number, random: Random): SimulatedRequest {
  let share = random();
  const kind = KINDS.find((one) => (share -= one.share) < 0) ?? KINDS[0];
  const customer = Math.floor(CUSTOMERS * random() ** 2);
  const expectedTokens = kind.answerTokens * (0.5 + random());
  return {
    customer: `customer-${customer}`,
    kind: kind.name,
    rank: customer % URGENT_EVERY === URGENT_EVERY - 1 ? 0 : 1,
    startMs: nowMs,
    promptTokens: Math.round(kind.promptTokens * (0.4 + 1.2 * random())),
    answerTokens: Math.round(expectedTokens * (0.5 + random())),
    rejectedBy: new Set(),
    sends: 0,
    expectedTokens,
    end: undefined,
    firstEventMs: undefined,
    estimate: undefined,
  };
}

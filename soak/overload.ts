/**
 * Draws a burst of requests of a less urgent route that exceeds the room of the
 * model servers, and checks how it was refused.
 *
 * @module
 */

import { systemClock } from "../src/common/clock.ts";
import { seededRandom } from "../src/common/random.ts";
import type { BackEnd } from "./back_ends.ts";
import type { Callers } from "./callers.ts";
import {
  BURST_ROUTE,
  CRASHING_TEXT,
  DEADLINE_MS,
  URGENT_ROUTE,
} from "./settings.ts";
import type { Attempt, History, Interval, RouteName } from "./types.ts";

/** Offset of the seed, so that a seed draws the same faults as before. */
const SEED_OFFSET = 7_000_003;
const SKIPPED_DRAWS = 8;
/** Among the other faults; the cut of the links often ends before. */
const START_MS = [6_000, 9_000] as const;
const LENGTH_MS = [5_000, 7_000] as const;
/**
 * The memory of a server lasts for 5 prompts of this length, that of the 12
 * servers for 15 streams on paths of 4. At this slowness they take 480 ms, so that
 * about 31 a second complete. With the usual prompts, memory lasts for 120.
 */
const PROMPT_TOKENS = 800;
const SLOWNESS = 4;
const REQUESTS_PER_S = [80, 120] as const;

/** Tolerance between the served shares (docs/hard-load.md, requirement 3). */
const SHARE_TOLERANCE = 0.05;
/** With fewer requests, one failure weighs more than the tolerance. */
const MIN_REQUESTS = 20;

/** Slows all servers and sends the drawn burst; resolves when it has ended. */
export async function sendBurst(
  seed: number,
  callers: Callers,
  servers: readonly BackEnd[],
): Promise<Interval> {
  const random = seededRandom(seed + SEED_OFFSET);
  // The first draws of neighbouring seeds are alike.
  for (let i = 0; i < SKIPPED_DRAWS; i++) random();
  const draw = ([min, max]: readonly [number, number]) =>
    min + random() * (max - min);
  const setSlowness = (slowness: number): void => {
    for (const { server } of servers) server.slowness = slowness;
  };
  await systemClock.sleep(draw(START_MS));
  const startMs = performance.now();
  setSlowness(SLOWNESS);
  const lengthMs = draw(LENGTH_MS);
  const burst = callers.startBurst({
    intervalMs: 1_000 / draw(REQUESTS_PER_S),
    promptTokens: PROMPT_TOKENS,
    random,
  });
  await systemClock.sleep(lengthMs);
  burst.dispose();
  setSlowness(1);
  return { startMs, endMs: performance.now() };
}

export function checkOverload(history: History): string[] {
  // `checkAttempt` checks that what was refused is never run.
  const refusals = history.attempts.filter(({ status, retryAfter }) =>
    status === 503 && !(Number(retryAfter) > 0)
  );
  const bursts = history.bursts.map((burst) => compare(history, burst));
  return [
    ...refusals.map(({ id, retryAfter = "" }) =>
      `${id}: refused with Retry-After "${retryAfter}"`
    ),
    ...bursts.filter(({ isViolated }) => isViolated).map(({ text }) => text),
  ];
}

/** One readable line for each burst. */
export function describeBursts(history: History): string[] {
  return history.bursts.map((burst) => compare(history, burst).text);
}

function compare(
  history: History,
  burst: Interval,
): { readonly isViolated: boolean; readonly text: string } {
  const urgent = countServed(history, burst, URGENT_ROUTE);
  const other = countServed(history, burst, BURST_ROUTE);
  // A cut host serves only what other hosts take over, so the shares depend on
  // which hosts the callers happened to choose.
  const isCut = history.linkCuts.some(({ startMs, endMs }) =>
    startMs < burst.endMs && endMs > burst.startMs
  );
  const isCompared = !isCut &&
    Math.min(urgent.sent, other.sent) >= MIN_REQUESTS;
  const isServedLess = urgent.served / urgent.sent + SHARE_TOLERANCE <
    other.served / other.sent;
  const counts = `${urgent.served} of ${urgent.sent} ${URGENT_ROUTE} served, ` +
    `${other.served} of ${other.sent} of the less urgent ${BURST_ROUTE}`;
  return {
    isViolated: isCompared && isServedLess,
    text: `burst: ${counts}${isCompared ? "" : " (not compared)"}`,
  };
}

function countServed(
  { attempts }: History,
  { startMs, endMs }: Interval,
  route: RouteName,
): { readonly sent: number; readonly served: number } {
  const sent = attempts.filter((one) =>
    one.route === route && one.startMs >= startMs && one.startMs < endMs &&
    isOrdinary(one)
  );
  const served = sent.filter((one) => one.status === 200 && one.isWhole);
  return { sent: sent.length, served: served.length };
}

/** Whether the caller could be served; one that gave up at its time-out counts. */
function isOrdinary(attempt: Attempt): boolean {
  const { key, content, crashingPart, startMs, endMs = Infinity } = attempt;
  const hasLeft = attempt.hasDisconnected && endMs - startMs < DEADLINE_MS;
  return key === "first" && crashingPart === undefined && !hasLeft &&
    !content.includes(CRASHING_TEXT);
}

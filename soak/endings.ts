/**
 * Draws how the servers of a run end under a crashing content.
 *
 * @module
 */

import { seededRandom } from "../src/common/random.ts";
import {
  SERVER_ENDINGS,
  type ServerEnding,
} from "../standins/users_platform/server_life.ts";

/** Offset of the seed, so that a seed draws the same faults as before. */
const SEED_OFFSET = 2_000_003;
/** A stream ends its server before one of so many events, or before the first. */
const MAX_EVENTS = 4;
const CRASHES_IN_TURN = 5;

export interface DrawnEndings {
  /** The same for all servers, as one fault of one program would be. */
  readonly ending: ServerEnding;
  /** Numbers of events after which streams end their server, in turn. */
  readonly crashAfterEvents: readonly number[];
}

/** Consecutive seeds take turns, each ending before and in a stream. */
export function drawEndings(seed: number): DrawnEndings {
  const random = seededRandom(seed + SEED_OFFSET);
  const isInProgress = Math.floor(seed / SERVER_ENDINGS.length) % 2 === 1;
  return {
    ending: SERVER_ENDINGS[seed % SERVER_ENDINGS.length],
    crashAfterEvents: Array.from(
      { length: isInProgress ? CRASHES_IN_TURN : 0 },
      () => Math.floor(random() * MAX_EVENTS),
    ),
  };
}

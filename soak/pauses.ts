/**
 * Draws which server of a run asks for a pause, and checks that no host sends to
 * it meanwhile.
 *
 * @module
 */

import { systemClock } from "../src/common/clock.ts";
import { seededRandom } from "../src/common/random.ts";
import type { ModelServer } from "../standins/users_platform/model_server.ts";
import type { NamedPause } from "../standins/users_platform/received_request.ts";
import type { BackEnd } from "./back_ends.ts";
import type { HostProcess } from "./host_process.ts";
import type { AskedPause, Bounds, History } from "./types.ts";

/** Offset of the seed, so that a seed draws the same faults as before. */
const SEED_OFFSET = 6_000_011;
const SKIPPED_DRAWS = 8;
const MAX_START_MS = 6_000;
const MIN_LENGTH_MS = 1_000;
const MAX_LENGTH_MS = 3_000;
/** Time that the server names. */
const MIN_PAUSE_S = 1;
const MAX_PAUSE_S = 4;
/** Requests that were on their way arrive within this time. */
const GRACE_MS = 500;
/** An answer has passed its proxy, or was dropped there, after this time. */
const ANSWER_TRANSIT_MS = 200;
const MAX_REQUESTS_IN_PAUSE = 2;

export interface DrawnPause {
  /** Index of the server. */
  readonly index: number;
  /** Relative to the start of the requests. */
  readonly startMs: number;
  /** How long the server rejects requests. */
  readonly lengthMs: number;
  readonly retryAfterS: number;
}

export function drawPause(seed: number, servers: number): DrawnPause {
  const random = seededRandom(seed + SEED_OFFSET);
  // The first draws of neighbouring seeds are alike.
  for (let i = 0; i < SKIPPED_DRAWS; i++) random();
  return {
    index: Math.floor(random() * servers),
    startMs: random() * MAX_START_MS,
    lengthMs: MIN_LENGTH_MS + random() * (MAX_LENGTH_MS - MIN_LENGTH_MS),
    retryAfterS: MIN_PAUSE_S + random() * (MAX_PAUSE_S - MIN_PAUSE_S),
  };
}

/** Lets the drawn server reject requests and ask for a pause, once. */
export async function askForPause(
  seed: number,
  servers: readonly BackEnd[],
  faults: {
    readonly begin: (server: ModelServer) => void;
    /** Returns whether no other fault of the server is active. */
    readonly end: (server: ModelServer) => boolean;
  },
): Promise<void> {
  const drawn = drawPause(seed, servers.length);
  const { server } = servers[drawn.index];
  await systemClock.sleep(drawn.startMs);
  faults.begin(server);
  server.mode = "shed";
  server.retryAfterS = drawn.retryAfterS;
  await systemClock.sleep(drawn.lengthMs);
  server.retryAfterS = undefined;
  if (faults.end(server)) server.mode = "good";
}

/** The pauses that servers asked hosts for, and what these sent there. */
export function collectPauses(
  servers: readonly BackEnd[],
  hosts: readonly HostProcess[],
): AskedPause[] {
  return servers.flatMap(({ server, proxy }) => {
    // A host that never got the answer does not know of the pause.
    const isLost = ({ from, atMs }: NamedPause): boolean =>
      proxy.lostAnswers.some((lost) =>
        lost.to === from && lost.atMs >= atMs &&
        lost.atMs < atMs + ANSWER_TRANSIT_MS
      );
    const pauses = server.namedPauses.filter((pause) => !isLost(pause));
    return pauses.map(({ from, atMs, endMs, bornMs }) => ({
      serverId: server.id,
      host: hosts.find(({ ip }) => ip === from)?.name ?? from,
      atMs,
      endMs,
      // A later process has asked for nothing.
      arrivedAtMs: server.arrivals.filter((one) =>
        one.from === from && one.bornMs === bornMs
      ).map((one) => one.atMs),
    }));
  });
}

/** A fault of the host since, or a cut of its links, excuses a pause. */
export function checkPauses(
  { pauses, hostFaults, linkCuts }: History,
  { stableWindowMs }: Bounds,
): string[] {
  return pauses.flatMap(({ serverId, host, atMs, endMs, arrivedAtMs }) => {
    const isExcused = hostFaults.some((fault) =>
      fault.host === host && fault.startMs <= endMs &&
      fault.endMs + stableWindowMs > atMs
    ) || linkCuts.some((cut) =>
      cut.hosts.includes(host) && cut.startMs <= endMs && cut.endMs > atMs
    );
    const arrived = arrivedAtMs.filter((arrivalMs) =>
      arrivalMs > atMs + GRACE_MS && arrivalMs < endMs
    );
    if (isExcused || arrived.length <= MAX_REQUESTS_IN_PAUSE) {
      return [];
    }
    return [
      `${serverId} asked ${host} for a pause of ${
        Math.round(endMs - atMs)
      } ms and got ${arrived.length} requests from it`,
    ];
  });
}

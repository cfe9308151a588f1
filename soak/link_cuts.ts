/**
 * Draws when hosts of a run are cut off from all servers, and checks that their
 * callers are served as those of the other hosts.
 *
 * @module
 */

import { systemClock } from "../src/common/clock.ts";
import { seededRandom } from "../src/common/random.ts";
import type { ClientCut } from "../standins/loopback_proxy.ts";
import { CRASHING_TEXT } from "./settings.ts";
import type { BackEnd } from "./back_ends.ts";
import type { HostProcess } from "./host_process.ts";
import type { Attempt, Bounds, History, LinkCut } from "./types.ts";

/** Offset of the seed, so that a seed draws the same faults as before. */
const SEED_OFFSET = 5_000_011;
const SKIPPED_DRAWS = 8;
const MAX_START_MS = 3_000;
const MIN_LENGTH_MS = 5_000;
const MAX_LENGTH_MS = 7_000;
const CUTS: readonly ClientCut[] = ["silent", "reset", "refuses-new"];
/** Share of the first tries at the other hosts that those at cut hosts reach. */
const MIN_RELATIVE_SHARE = 2 / 3;
/** Failures that are allowed besides, of all first tries: so many, and this share. */
const ALLOWED_FAILURES = 10;
const ALLOWED_FAILURE_SHARE = 1 / 50;

export interface DrawnCut {
  readonly hosts: readonly number[];
  readonly cut: ClientCut;
  /** Relative to the start of the requests. */
  readonly startMs: number;
  readonly lengthMs: number;
}

/** Draws the hosts that are cut off once in a run, one to all. */
export function drawCut(seed: number, hosts: number): DrawnCut {
  const random = seededRandom(seed + SEED_OFFSET);
  // The first draws of neighbouring seeds are alike.
  for (let i = 0; i < SKIPPED_DRAWS; i++) random();
  const count = 1 + Math.floor(random() * hosts);
  const first = Math.floor(random() * hosts);
  return {
    hosts: Array.from({ length: count }, (_, i) => (first + i) % hosts),
    cut: CUTS[Math.floor(random() * CUTS.length)],
    startMs: random() * MAX_START_MS,
    lengthMs: MIN_LENGTH_MS + random() * (MAX_LENGTH_MS - MIN_LENGTH_MS),
  };
}

/** Cuts the drawn hosts off, and resolves when the cut has ended. */
export async function cutLinks(
  seed: number,
  allHosts: readonly HostProcess[],
  servers: readonly BackEnd[],
): Promise<LinkCut> {
  const drawn = drawCut(seed, allHosts.length);
  const hosts = drawn.hosts.map((index) => allHosts[index]);
  const setCut = (cut: ClientCut | undefined): void => {
    for (const { proxy } of servers) {
      for (const { ip } of hosts) proxy.setCut(ip, cut);
    }
  };
  await systemClock.sleep(drawn.startMs);
  const startMs = performance.now();
  setCut(drawn.cut);
  await systemClock.sleep(drawn.lengthMs);
  setCut(undefined);
  const names = hosts.map(({ name }) => name);
  return { hosts: names, startMs, endMs: performance.now() };
}

/**
 * A fault of a host, or the time after it, excuses the requests of that host, and
 * faults of all hosts that are not cut off excuse those of the others, which these
 * cannot serve meanwhile.
 */
export function checkLinkCuts(
  { attempts, linkCuts, hostFaults }: History,
  { stableWindowMs }: Bounds,
): string[] {
  const allHosts = [...new Set(attempts.map(({ host }) => host))];
  const hasFault = (host: string, { startMs, endMs }: Attempt): boolean =>
    hostFaults.some((fault) =>
      fault.host === host && fault.startMs <= (endMs ?? Infinity) &&
      fault.endMs + stableWindowMs > startMs
    );
  return linkCuts.flatMap(({ hosts, startMs, endMs }) => {
    const others = allHosts.filter((host) => !hosts.includes(host));
    const isExcused = (one: Attempt): boolean =>
      hasFault(one.host, one) || others.every((host) => hasFault(host, one));
    const counted = attempts.filter((one) =>
      one.startMs >= startMs + stableWindowMs &&
      (one.endMs ?? Infinity) <= endMs && !one.hasDisconnected &&
      isOrdinary(one) && !isExcused(one)
    );
    const ofCut = counted.filter(({ host }) => hosts.includes(host));
    const ofOthers = counted.filter(({ host }) => !hosts.includes(host));
    const failed = ofCut.length - countServed(ofCut);
    const allowed = ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * counted.length;
    const isWorse = countServed(ofCut) * ofOthers.length <
      MIN_RELATIVE_SHARE * countServed(ofOthers) * ofCut.length;
    if (!isWorse || failed <= allowed) return [];
    return [
      `hosts cut off from all servers served ${
        countServed(ofCut)
      } of ${ofCut.length} requests, the others ${
        countServed(ofOthers)
      } of ${ofOthers.length}`,
    ];
  });
}

/** Whether nothing but faults of others keeps a request from being served. */
function isOrdinary({ key, content, crashingPart }: Attempt): boolean {
  return key === "first" && crashingPart === undefined &&
    !content.includes(CRASHING_TEXT);
}

function countServed(attempts: readonly Attempt[]): number {
  return attempts.filter(({ status, isWhole }) => status === 200 && isWhole)
    .length;
}

/**
 * Generates the fault schedule of a run. The schedule depends only on the
 * options, so a seed reproduces it.
 *
 * @module
 */

import { seededRandom } from "../src/common/random.ts";
import type { Fault, FaultKind, ScheduleOptions } from "./types.ts";

/** Minimum and maximum duration of each kind of fault. */
const DURATIONS_MS: Readonly<Record<FaultKind, readonly [number, number]>> = {
  "host-kill": [300, 1_500],
  "host-stop": [300, 1_500],
  "host-pause": [200, 4_000],
  "host-reload": [0, 0],
  "host-clock-jump": [0, 0],
  "server-silent": [300, 4_000],
  "server-reset": [0, 0],
  "server-delay": [500, 3_000],
  "server-answers-lost": [300, 3_000],
  "server-errors": [300, 3_000],
  "server-refuses": [300, 3_000],
  "server-cuts": [300, 3_000],
  "server-leaves": [3_000, 6_000],
  "store-silent": [300, 6_000],
  "store-busy": [300, 3_000],
  "store-reset": [300, 3_000],
  "store-delay": [500, 3_000],
  "store-drill": [0, 1_500],
  "key-revoked": [7_000, 9_000],
  "key-revoked-unseen": [7_000, 9_000],
  "config-written": [0, 0],
  "content-crashes": [0, 0],
};
/** Drills are drawn apart, so that a seed gives the same other faults as before. */
const KINDS = (Object.keys(DURATIONS_MS) as FaultKind[]).filter((kind) =>
  kind !== "store-drill"
);
/** Offset of the seed from which drills are drawn. */
const DRILL_SEED_OFFSET = 1_000_003;
const MEAN_DRILL_INTERVAL_MS = 6_000;
/**
 * Probability that a drawn store fault is kept. There is only one store, and at
 * the full rate hosts would hardly ever reach it.
 */
const STORE_FAULT_PROBABILITY = 0.3;

/** Mean time between the starts of faults. Most faults last longer, so they overlap. */
const MEAN_START_INTERVAL_MS = 300;

/** Returns the faults in order of start time. */
export function drawSchedule(options: ScheduleOptions): Fault[] {
  const random = seededRandom(options.seed);
  const draw = (from: number, to: number) =>
    from + Math.floor(random() * (to - from + 1));
  const { hosts, servers, plainServers } = options;
  const drawIndex = (kind: FaultKind): number => {
    if (kind.startsWith("host-")) return draw(0, hosts - 1);
    // Half of the server faults go to plain servers, which are few.
    const isPlain = draw(0, 1) === 0;
    return isPlain
      ? draw(servers - plainServers, servers - 1)
      : draw(0, servers - 1);
  };
  const drawKind = (): FaultKind => {
    for (;;) {
      const kind = KINDS[draw(0, KINDS.length - 1)];
      const isStore = kind.startsWith("store-") || kind.endsWith("-unseen");
      if (!isStore || random() < STORE_FAULT_PROBABILITY) return kind;
    }
  };
  const faults: Fault[] = [];
  let startMs = draw(0, MEAN_START_INTERVAL_MS);
  while (startMs < options.faultPhaseMs) {
    const kind = drawKind();
    const [minMs, maxMs] = DURATIONS_MS[kind];
    const endMs = Math.min(
      options.faultPhaseMs,
      startMs + draw(minMs, maxMs),
    );
    faults.push({ kind, startMs, endMs, index: drawIndex(kind) });
    startMs += draw(0, 2 * MEAN_START_INTERVAL_MS);
  }
  return [...faults, ...drawDrills(options)].sort((a, b) =>
    a.startMs - b.startMs
  );
}

function drawDrills({ seed, faultPhaseMs, servers }: ScheduleOptions): Fault[] {
  const random = seededRandom(seed + DRILL_SEED_OFFSET);
  // The first draws of neighbouring seeds are alike.
  random();
  const [minMs, maxMs] = DURATIONS_MS["store-drill"];
  const drills: Fault[] = [];
  let startMs = 0;
  for (;;) {
    startMs += Math.floor(random() * 2 * MEAN_DRILL_INTERVAL_MS);
    if (startMs >= faultPhaseMs) return drills;
    const awayMs = minMs + Math.floor(random() * (maxMs - minMs + 1));
    drills.push({
      kind: "store-drill",
      startMs,
      endMs: Math.min(faultPhaseMs, startMs + awayMs),
      index: Math.floor(random() * servers),
    });
  }
}

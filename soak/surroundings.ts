/**
 * Draws what surrounds the processes of the hosts in a run: signals at any
 * moment of a start, settings that are being rewritten, ports that others hold,
 * outputs that fail, and records of other writers.
 *
 * @module
 */

import { seededRandom } from "../src/common/random.ts";
import { ODD_RECORDS } from "./odd_records.ts";

/** Offset of the seed, so that a seed draws the same faults as before. */
const SEED_OFFSET = 9_000_011;
const SKIPPED_DRAWS = 8;
const COUNT = 5;
/** Share of the fault phase in which they begin. */
const MAX_START_SHARE = 0.7;
const MIN_LENGTH_MS = 100;
const MAX_LENGTH_MS = 1_500;
/** A process is ready well before that. */
const MAX_SIGNAL_DELAY_MS = 500;
const MAX_GAP_MS = 40;
const ODD_RECORDS_AT_ONCE = 4;

export const SURROUNDINGS = [
  "early-signals",
  "settings-half",
  "settings-gone",
  "settings-rewritten",
  "port-taken",
  "log-full",
  "log-reader-gone",
  "log-stalled",
  "odd-records",
] as const;

export type SurroundingKind = typeof SURROUNDINGS[number];

const SIGNALS: readonly (readonly NodeJS.Signals[])[] = [
  ["SIGHUP"],
  ["SIGHUP", "SIGHUP"],
  ["SIGTERM"],
  ["SIGTERM", "SIGTERM"],
  ["SIGHUP", "SIGTERM"],
];
/** The metrics endpoint's, and the first one of the hosts' range. */
const PORTS = [9_464, 7_340];

export interface Surrounding {
  readonly kind: SurroundingKind;
  /** Index of the host. */
  readonly host: number;
  /** Relative to the start of the requests. */
  readonly startMs: number;
  readonly lengthMs: number;
  readonly signals: readonly NodeJS.Signals[];
  /** From the start of the process to the first signal, and between signals. */
  readonly signalDelayMs: number;
  readonly signalGapMs: number;
  readonly port: number;
  /** Share of the settings that is written. */
  readonly writtenShare: number;
  /**
   * Of settings, whether a process is started with them, and else only told to
   * reload; of a log, whether its reader comes back.
   */
  readonly isStart: boolean;
  /** Indices of `ODD_RECORDS`. */
  readonly records: readonly number[];
}

export function drawSurroundings({ seed, faultPhaseMs, hosts }: {
  readonly seed: number;
  readonly faultPhaseMs: number;
  readonly hosts: number;
}): Surrounding[] {
  const random = seededRandom(seed + SEED_OFFSET);
  // The first draws of neighbouring seeds are alike.
  for (let i = 0; i < SKIPPED_DRAWS; i++) random();
  const draw = <T>(values: readonly T[]): T =>
    values[Math.floor(random() * values.length)];
  return Array.from({ length: COUNT }, (_, i) => ({
    // Each run has records of another writer.
    kind: i === 0 ? "odd-records" : draw(SURROUNDINGS),
    host: Math.floor(random() * hosts),
    startMs: random() * faultPhaseMs * MAX_START_SHARE,
    lengthMs: MIN_LENGTH_MS + random() * (MAX_LENGTH_MS - MIN_LENGTH_MS),
    signals: draw(SIGNALS),
    signalDelayMs: random() * MAX_SIGNAL_DELAY_MS,
    signalGapMs: random() * MAX_GAP_MS,
    port: draw(PORTS),
    writtenShare: random(),
    isStart: random() < 0.5,
    records: Array.from(
      { length: ODD_RECORDS_AT_ONCE },
      () => Math.floor(random() * ODD_RECORDS.length),
    ),
  })).sort((a, b) => a.startMs - b.startMs);
}

/** One readable line. */
export function describeSurrounding(
  { kind, host, startMs, lengthMs, ...drawn }: Surrounding,
): string {
  const details: Partial<Record<SurroundingKind, string>> = {
    "early-signals": `${drawn.signals.join(" and ")} ${
      Math.round(drawn.signalDelayMs)
    } ms after a start`,
    "port-taken": `port ${drawn.port}`,
    "log-reader-gone": drawn.isStart ? "comes back" : "stays away",
    "odd-records": drawn.records.map((index) => {
      const { topic, value } = ODD_RECORDS[index];
      return `${topic} ${JSON.stringify(value.toString("utf8", 0, 160))}`;
    }).join("; "),
  };
  const isStart = drawn.isStart || !kind.startsWith("settings-");
  const detail = details[kind] ?? (isStart ? "at a start" : "at a reload");
  return `${Math.round(startMs)} ms: ${kind} ${host}, ${
    Math.round(lengthMs)
  } ms, ${detail}`;
}

/**
 * Checks how the processes of the hosts started and ended: none ends unless the
 * soak asked for it, each ends in time when it is asked, and each becomes ready.
 *
 * @module
 */

import {
  remainingMs,
  TIMESTAMP_TOLERANCE_MS,
  withReconnection,
} from "./intervals.ts";
import type { Bounds, History, HostLife, Interval } from "./types.ts";

type Observed = Pick<
  History,
  "lives" | "linkCuts" | "storeFaults" | "untilMs"
>;

export function checkLives(history: Observed, bounds: Bounds): string[] {
  return history.lives.flatMap((life) => [
    ...checkEnd(life, history, bounds),
    ...checkStart(life, history, bounds),
  ]);
}

function checkEnd(
  life: HostLife,
  { untilMs }: Observed,
  { graceMs }: Bounds,
): string[] {
  const { host, startMs, signals, end } = life;
  const asked = signals.find(({ name }) => name === "SIGTERM");
  const lastLines = (end?.lastLines ?? []).map((line) => `\n    ${line}`);
  const tookMs = asked === undefined
    ? 0
    : remainingMs(asked.atMs, end?.atMs ?? untilMs, pauses(life));
  if (tookMs > graceMs + TIMESTAMP_TOLERANCE_MS) {
    return [
      `${host}: ${end === undefined ? "still runs" : "ended"} ${
        Math.round(tookMs)
      } ms after SIGTERM, at most ${graceMs} allowed${lastLines.join("")}`,
    ];
  }
  const isAsked = end === undefined ||
    (asked !== undefined && end.code === 0) ||
    signals.some(({ name, isBeforeProgram }) =>
      isBeforeProgram === true && name === end.signal
    ) ||
    (end.signal === "SIGKILL" &&
      signals.some(({ name }) => name === "SIGKILL"));
  if (isAsked) return [];
  const sent = signals.map(({ name, atMs }) =>
    `${name} at ${Math.round(atMs - startMs)} ms`
  );
  return [
    `${host}: ended ${Math.round(end.atMs - startMs)} ms after its start with ${
      end.signal ?? `code ${end.code}`
    }, after ${sent.join(", ") || "no signal"}${lastLines.join("")}`,
  ];
}

/** Only time counts in which the process ran and reached the store and servers. */
function checkStart(
  life: HostLife,
  { storeFaults, linkCuts, untilMs }: Observed,
  { startupMs }: Bounds,
): string[] {
  const { host, startMs, readyMs, end, signals } = life;
  const asked = signals.find(({ name }) => name === "SIGTERM");
  const toMs = Math.min(
    readyMs ?? Infinity,
    asked?.atMs ?? Infinity,
    end?.atMs ?? untilMs,
  );
  const cuts = linkCuts.filter(({ hosts }) => hosts.includes(host));
  const tookMs = remainingMs(startMs, toMs, [
    ...pauses(life),
    ...withReconnection(storeFaults),
    ...cuts,
  ]);
  if (tookMs <= startupMs) return [];
  return [
    `${host}: ${readyMs === undefined ? "not ready" : "ready"} ${
      Math.round(tookMs)
    } ms after its start, at most ${startupMs} allowed`,
  ];
}

/** When the process was stopped by SIGSTOP. */
function pauses({ signals }: HostLife): Interval[] {
  return signals.filter(({ name }) => name === "SIGSTOP").map(({ atMs }) => ({
    startMs: atMs,
    endMs: signals.find((one) => one.name === "SIGCONT" && one.atMs >= atMs)
      ?.atMs ?? Infinity,
  }));
}

/**
 * Reads a process's CPU time, memory and I/O bytes (sockets included) from
 * Linux's procfs.
 *
 * @module
 */

import { readFileSync } from "node:fs";

/** Clock ticks per second in `/proc/<pid>/stat`. */
const TICKS_PER_S = 100;
const PAGE_BYTES = 4_096;
const UTIME_FIELD = 11;
const STIME_FIELD = 12;
const RSS_FIELD = 21;

/** Totals since the process started; memory is the current value. */
export interface ProcessUsage {
  readonly cpuS: number;
  readonly readBytes: number;
  readonly writtenBytes: number;
  readonly residentBytes: number;
}

export function readProcessUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ").map(Number);
  const io = readFileSync(`/proc/${pid}/io`, "utf8");
  return {
    cpuS: (fields[UTIME_FIELD] + fields[STIME_FIELD]) / TICKS_PER_S,
    residentBytes: fields[RSS_FIELD] * PAGE_BYTES,
    readBytes: readCounter(io, "rchar"),
    writtenBytes: readCounter(io, "wchar"),
  };
}

function readCounter(io: string, name: string): number {
  return Number(new RegExp(`^${name}: (\\d+)$`, "m").exec(io)?.[1]);
}

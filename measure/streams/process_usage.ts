/**
 * Reads what Linux counts of a process: processor time and the bytes that it
 * read and wrote, sockets included.
 *
 * @module
 */

import { readFileSync } from "node:fs";

/** Clock ticks a second in `/proc/<pid>/stat`. */
const TICKS_PER_S = 100;
const PAGE_BYTES = 4_096;
const UTIME_FIELD = 11;
const STIME_FIELD = 12;
const RSS_FIELD = 21;

/** Counts since the process started, and its memory now. */
export interface ProcessUsage {
  readonly cpuS: number;
  readonly readBytes: number;
  readonly writtenBytes: number;
  readonly residentBytes: number;
}

/** Reads the counts of one process. */
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

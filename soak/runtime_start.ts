/**
 * Tells whether a process is still starting its runtime, which ends it at a
 * signal that the program would handle.
 *
 * @module
 */

import { execFileSync } from "node:child_process";
import { readFileSync } from "node:fs";
import process from "node:process";
import { readSample } from "./process_samples.ts";

/** SIGHUP in the mask of /proc/PID/status; the program handles it last. */
const SIGHUP_MASK = 1n;
/** A start may cost this much more processor time than the measured one. */
const TOLERANCE_FACTOR = 2;
const PRINT_PROCESSOR_TIME =
  "const { user, system } = process.cpuUsage(); console.log(user + system)";

let runtimeStartMs: number | undefined;

/** Processor time of the runtime's start with these flags; measured once. */
export function measureRuntimeStart(flags: readonly string[]): number {
  runtimeStartMs ??= Number(
    execFileSync(process.execPath, [...flags, "-e", PRINT_PROCESSOR_TIME]),
  ) / 1_000;
  return runtimeStartMs;
}

/**
 * Whether a process started with `flags` handles no SIGHUP yet, and has not used
 * more processor time than a start of its runtime does.
 */
export function isRuntimeStarting(
  pid: number,
  flags: readonly string[],
): boolean {
  const sample = readSample(pid);
  if (sample === undefined) return false;
  return !handlesReload(pid) &&
    sample.processorMs <= measureRuntimeStart(flags) * TOLERANCE_FACTOR;
}

function handlesReload(pid: number): boolean {
  let status: string;
  try {
    status = readFileSync(`/proc/${pid}/status`, "utf8");
  } catch {
    // The process has ended meanwhile.
    return true;
  }
  const caught = BigInt(`0x${/^SigCgt:\s*(\w+)$/m.exec(status)?.[1] ?? 0}`);
  return (caught & SIGHUP_MASK) !== 0n;
}

/**
 * Tells when a process that was started handles signals.
 *
 * @module
 */

import type { ChildProcess } from "node:child_process";
import { readFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";

const SIGHUP_MASK = 1n;
const DEFAULT_POLL_INTERVAL_MS = 1;

export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/**
 * Resolves when the process handles SIGHUP, which the runtime itself does not,
 * or when it has ended.
 */
export async function waitForHandlers(
  child: ChildProcess,
  pollIntervalMs = DEFAULT_POLL_INTERVAL_MS,
): Promise<void> {
  while (child.exitCode === null && child.signalCode === null) {
    const status = readFileSync(`/proc/${child.pid}/status`, "utf8");
    const caught = /SigCgt:\s*(\w+)/.exec(status)?.[1] ?? "0";
    if ((BigInt(`0x${caught}`) & SIGHUP_MASK) !== 0n) return;
    await sleep(pollIntervalMs);
  }
}

/** Resolves when the process has ended and its output was read. */
export function waitForEnd(child: ChildProcess): Promise<ProcessEnd> {
  return new Promise((resolve) =>
    child.once("close", (code, signal) => resolve({ code, signal }))
  );
}

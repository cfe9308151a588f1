/**
 * Samples what the processes of the hosts use, and checks it: processor time
 * while no caller sends, resident memory, and open descriptors.
 *
 * @module
 */

import { readdirSync, readFileSync } from "node:fs";
import type { HostProcess } from "./host_process.ts";
import type {
  Bounds,
  History,
  HostLife,
  Interval,
  ProcessSample,
} from "./types.ts";

const SAMPLE_INTERVAL_MS = 250;
/** Clock ticks of /proc, 100 a second on Linux. */
const TICK_MS = 10;
/** Positions after the name of the program in /proc/PID/stat. */
const USER_TICKS = 11;
const SYSTEM_TICKS = 12;
/** Connections to servers and other hosts that may be kept beside the first ones. */
const SPARE_DESCRIPTORS = 16;

type Observed = Pick<History, "lives" | "rests">;

/** Samples the running hosts until disposed. */
export function startSampling(
  hosts: readonly HostProcess[],
): { dispose(): void } {
  const timer = setInterval(() => {
    for (const { pid, lives } of hosts) {
      const sample = pid === undefined ? undefined : readSample(pid);
      if (sample !== undefined) lives.at(-1)?.samples.push(sample);
    }
  }, SAMPLE_INTERVAL_MS);
  return { dispose: () => clearInterval(timer) };
}

/** Undefined if there is no such process. */
export function readSample(pid: number): ProcessSample | undefined {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    // The name of the program, in parentheses, may contain spaces.
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const residentKb = /^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1];
    // A process that has ended but was not waited for has no memory.
    if (residentKb === undefined) return undefined;
    const ticks = Number(fields[USER_TICKS]) + Number(fields[SYSTEM_TICKS]);
    return {
      atMs: performance.now(),
      processorMs: ticks * TICK_MS,
      residentBytes: Number(residentKb) * 1_024,
      descriptors: readdirSync(`/proc/${pid}/fd`).length,
    };
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException;
    if (code === "ENOENT" || code === "ESRCH") return undefined;
    throw error;
  }
}

/** Whether the process has a handler of a signal, by its number. */
export function handlesSignal(pid: number, signal: number): boolean {
  try {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const mask = /^SigCgt:\s+([0-9a-f]+)$/m.exec(status)?.[1] ?? "0";
    return (BigInt(`0x${mask}`) >> BigInt(signal - 1) & 1n) === 1n;
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === "ENOENT") return false;
    throw error;
  }
}

export function checkSamples(history: Observed, bounds: Bounds): string[] {
  return history.lives.flatMap((life) => [
    ...history.rests.flatMap((rest) => checkRest(life, rest, bounds)),
    ...checkMemory(life, bounds),
    ...checkDescriptors(life, history),
  ]);
}

/** Of all hosts the largest use in each rest, and the most memory. */
export function describeSamples({ lives, rests }: Observed): string {
  const used = rests.map((rest) =>
    Math.max(...lives.map((life) => coresUsed(life, rest) ?? 0)).toFixed(3)
  );
  const samples = lives.flatMap((life) => life.samples);
  const residentMb = Math.max(...samples.map((one) => one.residentBytes)) / 1e6;
  const descriptors = rests.map((rest) =>
    Math.max(
      ...lives.map((life) => within(life, rest).at(-1)?.descriptors ?? 0),
    )
  );
  return `hosts: at most ${used.join(" and ")} cores in the rests, ${
    Math.round(residentMb)
  } MB, ${descriptors.join(" and ")} descriptors after the rests`;
}

function checkRest(
  life: HostLife,
  rest: Interval,
  { restingCores }: Bounds,
): string[] {
  const cores = coresUsed(life, rest);
  if (cores === undefined || cores <= restingCores) return [];
  return [
    `${life.host}: used ${
      cores.toFixed(2)
    } cores while no caller sent, at most ${restingCores} allowed`,
  ];
}

function checkMemory(
  { host, samples }: HostLife,
  { residentBytes }: Bounds,
): string[] {
  const most = Math.max(0, ...samples.map((one) => one.residentBytes));
  if (most <= residentBytes) return [];
  return [
    `${host}: ${Math.round(most / 1e6)} MB resident, at most ${
      Math.round(residentBytes / 1e6)
    } allowed`,
  ];
}

/** Compares the last rest with the first one of any process of the host. */
function checkDescriptors(
  life: HostLife,
  { lives, rests }: Observed,
): string[] {
  const [first] = rests;
  const last = rests.at(-1);
  if (first === undefined || last === undefined) return [];
  const before = Math.max(
    ...lives.filter(({ host }) => host === life.host).map((one) =>
      within(one, first).at(-1)?.descriptors ?? 0
    ),
  );
  const after = within(life, last).at(-1)?.descriptors;
  if (after === undefined || after <= before + SPARE_DESCRIPTORS) return [];
  return [
    `${life.host}: ${after} descriptors after the callers had left, ${before} before they came`,
  ];
}

/** Undefined for a process that did not run through the interval. */
function coresUsed(life: HostLife, interval: Interval): number | undefined {
  const samples = within(life, interval);
  const [first] = samples;
  const last = samples.at(-1);
  if (first === undefined || last === undefined) return undefined;
  const spanMs = last.atMs - first.atMs;
  if (spanMs < (interval.endMs - interval.startMs) / 2) return undefined;
  return (last.processorMs - first.processorMs) / spanMs;
}

function within(
  { samples }: HostLife,
  { startMs, endMs }: Interval,
): ProcessSample[] {
  return samples.filter(({ atMs }) => atMs >= startMs && atMs <= endMs);
}

/**
 * Brings about the drawn surroundings of the hosts' processes.
 *
 * @module
 */

import { createSocket } from "node:dgram";
import { openSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { systemClock } from "../src/common/clock.ts";
import type { StoreStandin } from "../standins/users_platform/store_standin.ts";
import { type HostProcess, KILL_AFTER_MS } from "./host_process.ts";
import { LogPipe } from "./log_pipe.ts";
import { ODD_RECORDS } from "./odd_records.ts";
import type { Surrounding } from "./surroundings.ts";
import type { History } from "./types.ts";

const FULL_DEVICE = "/dev/full";
/** Odd records stay through several reads of each host. */
const RECORD_LENGTH_FACTOR = 4;
const REWRITE_INTERVAL_MS = 30;

/** Number of pipes so far. */
let pipes = 0;

export interface SurroundOptions {
  readonly drawn: readonly Surrounding[];
  readonly hosts: readonly HostProcess[];
  readonly store: Pick<StoreStandin, "put">;
}

/** Resolves with when hosts were restarted, once all of them have ended. */
export async function surround(
  { drawn, hosts, store }: SurroundOptions,
): Promise<History["hostFaults"]> {
  const absences = drawn.map(async (one) => {
    await systemClock.sleep(one.startMs);
    if (one.kind === "odd-records") {
      await putOddRecords(one, store);
      return [];
    }
    const host = hosts[one.host];
    const startMs = performance.now();
    await surroundHost(host, one);
    return [{ host: host.name, startMs, endMs: performance.now() }];
  });
  return (await Promise.all(absences)).flat();
}

async function surroundHost(
  host: HostProcess,
  drawn: Surrounding,
): Promise<void> {
  const { kind } = drawn;
  const isStart = drawn.isStart || !kind.startsWith("settings-");
  if (isStart) await host.stop();
  if (kind === "early-signals") await sendEarlySignals(host, drawn);
  else if (kind === "port-taken") await takePort(host, drawn);
  else if (kind === "log-full") {
    host.output = openSync(FULL_DEVICE, "w");
    startIfDown(host);
  } else if (kind === "log-reader-gone" || kind === "log-stalled") {
    await disturbPipe(host, drawn);
  } else {
    await disturbSettings(host, drawn, () => {
      if (isStart) startIfDown(host);
      else host.signal("SIGHUP");
    });
  }
}

/** Another fault may have started it. */
function startIfDown(host: HostProcess, output?: number): void {
  if (!host.isRunning) host.start(output);
}

async function sendEarlySignals(
  host: HostProcess,
  { signals, signalDelayMs, signalGapMs }: Surrounding,
): Promise<void> {
  startIfDown(host);
  await systemClock.sleep(signalDelayMs);
  for (const name of signals) {
    host.signal(name);
    await systemClock.sleep(signalGapMs);
  }
  if (!signals.includes("SIGTERM")) return;
  await host.waitForExit(KILL_AFTER_MS);
  startIfDown(host);
}

async function takePort(
  host: HostProcess,
  { port, lengthMs }: Surrounding,
): Promise<void> {
  const server = createServer();
  const socket = createSocket("udp4");
  // Another fault may have started the host, which then has its ports.
  const listened = new Promise((resolve) => {
    server.once("error", resolve).listen(port, host.ip, () => resolve(true));
  });
  const bound = new Promise((resolve) => {
    socket.once("error", resolve).bind(port, host.ip, () => resolve(true));
  });
  await Promise.all([listened, bound]);
  startIfDown(host);
  await systemClock.sleep(lengthMs);
  server.close();
  socket.close();
}

async function disturbSettings(
  { settingsPath, settings }: HostProcess,
  { kind, lengthMs, writtenShare }: Surrounding,
  use: () => void,
): Promise<void> {
  const part = settings.slice(0, Math.floor(settings.length * writtenShare));
  // Another one may have removed them.
  if (kind === "settings-gone") rmSync(settingsPath, { force: true });
  else writeFileSync(settingsPath, part);
  use();
  const endMs = performance.now() + lengthMs;
  while (kind === "settings-rewritten" && performance.now() < endMs) {
    await systemClock.sleep(REWRITE_INTERVAL_MS);
    writeFileSync(settingsPath, settings);
    await systemClock.sleep(REWRITE_INTERVAL_MS);
    writeFileSync(settingsPath, part);
  }
  await systemClock.sleep(Math.max(0, endMs - performance.now()));
  writeFileSync(settingsPath, settings);
}

async function disturbPipe(
  host: HostProcess,
  { kind, lengthMs, signalDelayMs, isStart }: Surrounding,
): Promise<void> {
  const path = `${host.logPath}.pipe-${pipes++}`;
  const pipe = new LogPipe(path, host.logPath);
  pipe.read();
  pipe.write((descriptor) => startIfDown(host, descriptor));
  await systemClock.sleep(signalDelayMs);
  if (kind === "log-stalled") pipe.stall();
  else pipe.dispose();
  await systemClock.sleep(lengthMs);
  // A stalled reader stays so.
  if (kind === "log-reader-gone" && isStart) pipe.read();
}

async function putOddRecords(
  { records, lengthMs }: Surrounding,
  store: Pick<StoreStandin, "put">,
): Promise<void> {
  const put = records.map((index) => ODD_RECORDS[index]);
  for (const { topic, key, value } of put) store.put(topic, key, value);
  await systemClock.sleep(lengthMs * RECORD_LENGTH_FACTOR);
  for (const { topic, key } of put) store.put(topic, key, undefined);
}

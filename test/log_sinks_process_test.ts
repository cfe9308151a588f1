/**
 * Hosts, as processes, whose log cannot be written for a while or at all.
 *
 * @module
 */

import { type ChildProcess, spawn, spawnSync } from "node:child_process";
import { closeSync, constants, mkdtempSync, openSync } from "node:fs";
import { readFileSync, readSync, rmSync, truncateSync } from "node:fs";
import { writeFileSync, writeSync } from "node:fs";
import { get, request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { afterEach, beforeEach, expect, test } from "vitest";
import { METRICS_PORT, SETTINGS_VARIABLE } from "../platform/settings.ts";
import { systemClock } from "../src/common/clock.ts";
import { hostIp } from "../standins/loopback_address.ts";
import {
  Deployment,
  HOST_NAME,
  KEY,
} from "../standins/users_platform/deployment.ts";
import { plainServers } from "../standins/users_platform/server_options.ts";

const IP = hostIp(60);
const FRONTEND_PORT = 18_080;
const READINESS_PORT = 18_081;
const READY_TIMEOUT_MS = 10_000;
/** Longer than the log waits between two tries. */
const OBSERVED_MS = 1_300;
const CALLS = 40;
/** A core that spins uses all of it; a host with few callers a few hundredths. */
const MAX_CORE_SHARE = 0.3;
const CLOCK_TICK_MS = 10;

let deployment: Deployment;
let folder: string;
let host: ChildProcess;
let open: number[] = [];

beforeEach(async () => {
  folder = mkdtempSync(join(tmpdir(), "log-sinks-"));
  deployment = new Deployment({ servers: plainServers(2), hosts: 0 });
  await deployment.start();
});

afterEach(async () => {
  const exited = exitCode();
  if (host.exitCode === null && host.signalCode === null) {
    host.kill("SIGKILL");
    await exited;
  }
  for (const descriptor of open) closeSync(descriptor);
  open = [];
  deployment.close();
  rmSync(folder, { recursive: true });
});

interface StartOptions {
  /** Content of the settings file; by default one that can be used. */
  readonly settings?: string;
  /** Largest size of a file that the host writes, in units of 512 or 1,024 bytes. */
  readonly fileSizeLimitBlocks?: number;
  /** Module that the process runs before the program. */
  readonly preload?: string;
}

/** Starts a host whose standard output and error are `sink`, closed if undefined. */
function startHost(sink: number | undefined, options: StartOptions = {}): void {
  const file = join(folder, "settings.json");
  writeFileSync(file, options.settings ?? soundSettings());
  const preload = options.preload === undefined
    ? ""
    : `--import "${options.preload}"`;
  const commands = [
    options.fileSizeLimitBlocks === undefined
      ? ""
      : `ulimit -f ${options.fileSizeLimitBlocks};`,
    `exec "${process.execPath}" ${preload} dist/platform/main.js`,
    sink === undefined ? ">&- 2>&-" : "",
  ];
  host = spawn("sh", ["-c", commands.join(" ")], {
    env: { ...process.env, [SETTINGS_VARIABLE]: file },
    stdio: ["ignore", sink ?? "ignore", sink ?? "ignore"],
  });
}

function soundSettings(): string {
  return JSON.stringify({
    ip: IP,
    "outgoing-ip": IP,
    listen: {
      frontend: `${IP}:${FRONTEND_PORT}`,
      readiness: `${IP}:${READINESS_PORT}`,
    },
    platform: { address: deployment.store.address },
    "port-range": [7_340, 7_349],
    bounds: { "grace-s": 2 },
  });
}

/** Starts a host whose log goes to a full FIFO; returns its reader. */
function stall(path: string, options: StartOptions = {}): number {
  const reader = openReader(path);
  const sink = openSink(path, "w");
  const filler = openSink(path, constants.O_WRONLY | constants.O_NONBLOCK);
  try {
    for (;;) writeSync(filler, "x".repeat(4_096));
  } catch {
    // The FIFO is full.
  }
  startHost(sink, options);
  return reader;
}

function exitCode(): Promise<number | null> {
  return new Promise((resolve) => host.once("exit", resolve));
}

function openSink(path: string, flags: string | number): number {
  const descriptor = openSync(path, flags);
  open.push(descriptor);
  return descriptor;
}

function createFifo(): string {
  const path = join(folder, "fifo");
  expect(spawnSync("mkfifo", [path]).status).toBe(0);
  return path;
}

function openReader(path: string): number {
  return openSink(path, constants.O_RDONLY | constants.O_NONBLOCK);
}

function closeReader(descriptor: number): void {
  closeSync(descriptor);
  open = open.filter((one) => one !== descriptor);
}

/** All that the FIFO holds now. */
function drain(descriptor: number): string {
  const chunk = Buffer.alloc(65_536);
  let text = "";
  try {
    for (;;) {
      const length = readSync(descriptor, chunk);
      if (length === 0) return text;
      text += chunk.toString("utf8", 0, length);
    }
  } catch {
    return text;
  }
}

function status(port: number, path: string): Promise<number> {
  return new Promise((resolve) => {
    get({ host: IP, port, path, timeout: 1_000, agent: false }, (answer) => {
      answer.resume();
      resolve(answer.statusCode ?? 0);
    }).on("error", () => resolve(0)).on("timeout", () => resolve(0));
  });
}

async function isReady(): Promise<boolean> {
  const endMs = performance.now() + READY_TIMEOUT_MS;
  while (performance.now() < endMs) {
    if (await status(READINESS_PORT, "/") === 200) return true;
    await systemClock.sleep(50);
  }
  return false;
}

/** Status of an idempotent call, 0 without an answer. */
function call(id: number): Promise<number> {
  return new Promise((resolve) => {
    request({
      host: IP,
      port: FRONTEND_PORT,
      method: "POST",
      path: "/acks/",
      agent: false,
      timeout: 5_000,
      headers: {
        host: HOST_NAME,
        authorization: `Token ${KEY}`,
        "jackdawshift-attempt-id": `sink-${id}`,
        "jackdawshift-deadline-ms": "3000",
        "jackdawshift-token-usage": "100,20",
      },
    }, (answer) => {
      answer.resume();
      resolve(answer.statusCode ?? 0);
    }).on("error", () => resolve(0)).on("timeout", () => resolve(0)).end("{}");
  });
}

/** Calls the host over the time of observation; resolves with the share served. */
async function servedShare(): Promise<number> {
  const calls: Promise<number>[] = [];
  for (let i = 0; i < CALLS; i++) {
    calls.push(call(i));
    await systemClock.sleep(OBSERVED_MS / CALLS);
  }
  const served = (await Promise.all(calls)).filter((one) => one === 200);
  return served.length / CALLS;
}

function processorMs(): number {
  const fields = readFileSync(`/proc/${host.pid}/stat`, "utf8")
    .split(") ")[1].split(" ");
  return (Number(fields[11]) + Number(fields[12])) * CLOCK_TICK_MS;
}

async function readMetrics(): Promise<string> {
  const response = await fetch(`http://${IP}:${METRICS_PORT}/metrics`);
  return response.text();
}

/** Dropped lines by cause. */
async function droppedLines(): Promise<Record<string, number>> {
  const series =
    /^jackdawshift_log_lines_dropped_total\{cause="(\w+)"\} (\d+)$/gm;
  const found = [...(await readMetrics()).matchAll(series)];
  return Object.fromEntries(found.map(([, cause, n]) => [cause, Number(n)]));
}

async function expectUnharmed(): Promise<void> {
  const [fromMs, usedMs] = [performance.now(), processorMs()];
  expect(await servedShare()).toBe(1);
  const share = (processorMs() - usedMs) / (performance.now() - fromMs);
  expect(share).toBeLessThan(MAX_CORE_SHARE);
  expect(await readMetrics()).not.toContain("jackdawshift_internal_errors");
}

/** Notices of dropped lines among those that can be read. */
function noticesIn(text: string): { count: number; causes: object }[] {
  return text.split("\n").filter((line) => line.startsWith("{"))
    .flatMap((line) => {
      try {
        return [JSON.parse(line)];
      } catch {
        return [];
      }
    }).filter(({ event }) => event === "log lines dropped");
}

test("a host whose log cannot be written from the start gets ready and serves", async () => {
  startHost(openSink("/dev/full", "w"));
  expect(await isReady()).toBe(true);
  await expectUnharmed();
  expect((await droppedLines()).ENOSPC).toBeGreaterThan(0);
  const exited = exitCode();
  host.kill("SIGTERM");
  expect(await exited).toBe(0);
});

test("a host whose log has no reader gets ready, and tells a later reader what was lost", async () => {
  const path = createFifo();
  const reader = openReader(path);
  const sink = openSink(path, "w");
  closeReader(reader);
  startHost(sink);
  expect(await isReady()).toBe(true);
  await expectUnharmed();
  const dropped = (await droppedLines()).EPIPE;
  expect(dropped).toBeGreaterThan(0);
  const later = openReader(path);
  await systemClock.sleep(OBSERVED_MS);
  const [notice] = noticesIn(drain(later));
  expect(notice.causes).toEqual({ EPIPE: dropped });
  expect(notice.count).toBe(dropped);
});

test("a log's reader that goes away under load and comes back costs no request", async () => {
  const path = createFifo();
  const reader = openReader(path);
  startHost(openSink(path, "w"));
  expect(await isReady()).toBe(true);
  expect(drain(reader)).toContain("host started");
  closeReader(reader);
  await expectUnharmed();
  const later = openReader(path);
  await systemClock.sleep(OBSERVED_MS);
  expect(await servedShare()).toBe(1);
  const text = drain(later);
  expect(noticesIn(text)).toHaveLength(1);
});

test("a log's reader that stalls costs no request", async () => {
  stall(createFifo());
  expect(await isReady()).toBe(true);
  await expectUnharmed();
});

test("a log on a full file system goes on in whole lines once there is room", async () => {
  // The limit of the shell on the size of files stands in for the file system.
  const path = join(folder, "log");
  writeFileSync(path, "");
  startHost(openSink(path, "a"), { fileSizeLimitBlocks: 1 });
  expect(await isReady()).toBe(true);
  await expectUnharmed();
  expect((await droppedLines()).EFBIG).toBeGreaterThan(0);
  truncateSync(path);
  await systemClock.sleep(OBSERVED_MS);
  expect(noticesIn(readFileSync(path, "utf8"))).toHaveLength(1);
});

test("a host that cannot start ends although its log's reader stalls", async () => {
  stall(createFifo(), { settings: "{}" });
  const code = await Promise.race([exitCode(), systemClock.sleep(5_000)]);
  expect(code).toBe(2);
});

test("warnings of the runtime that cannot be written harm nothing", async () => {
  const preload = join(folder, "warnings.mjs");
  writeFileSync(
    preload,
    `setInterval(() => {
       if (process.listenerCount("uncaughtException") === 0) return;
       process.emitWarning(String(Math.random()));
     }, 20);`,
  );
  startHost(openSink("/dev/full", "w"), { preload });
  expect(await isReady()).toBe(true);
  await expectUnharmed();
});

test("a host whose standard output and error are closed serves", async () => {
  startHost(undefined);
  expect(await isReady()).toBe(true);
  await expectUnharmed();
});

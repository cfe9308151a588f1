/**
 * Measures the start of the platform's program as a process: time to its signal
 * handlers, to its open ports and until it is ready, processor time and memory.
 * Programs of other builds are compared with it in the same run; they are named
 * in the environment as `JACKDAWSHIFT_PROGRAMS=name=path,…`.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import {
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { get } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { systemClock } from "../src/common/clock.ts";
import { hostIp } from "../standins/loopback_address.ts";
import { Deployment } from "../standins/users_platform/deployment.ts";
import { plainServers } from "../standins/users_platform/server_options.ts";
import { waitForHandlers } from "../test/early_handlers.ts";
import { distPath } from "../test/processes.ts";
import { printRows } from "./tables/rows.ts";

const ALONE_STARTS = 50;
const TOGETHER_HOSTS = 40;
const TOGETHER_ROUNDS = 2;
/** As in deploy/system.toml. */
const FLAGS = ["--max-semi-space-size=1", "--max-old-space-size=120"];
const READINESS_PORT = 8_081;
/** Interval of each look at a host, times the hosts that start at once. */
const POLL_INTERVAL_MS = 2;
/** Memory is read this long after the host is ready. */
const SETTLE_MS = 500;
const KB_PER_MB = 1_024;

interface Program {
  readonly name: string;
  readonly path: string;
}

interface StartUsage {
  readonly handlersMs: number;
  readonly portsMs: number;
  /** Processor time until the ports are open. */
  readonly cpuMs: number;
  readonly readyMs: number;
  readonly residentMb: number;
  readonly peakMb: number;
  readonly privateMb: number;
}

const COLUMNS = [
  "handlersMs",
  "portsMs",
  "cpuMs",
  "readyMs",
  "residentMb",
  "peakMb",
  "privateMb",
] as const;

export async function run(): Promise<void> {
  const deployment = new Deployment({ hosts: 0, servers: plainServers(1) });
  await deployment.start();
  const folder = mkdtempSync(join(tmpdir(), "starts-"));
  const start = (program: Program, number: number, hosts: number) =>
    measureStart({
      program,
      number,
      folder,
      store: deployment.store.address,
      pollIntervalMs: POLL_INTERVAL_MS * hosts,
    });
  try {
    const programs = readPrograms();
    const alone = new Map<string, StartUsage[]>();
    for (let index = 0; index < ALONE_STARTS; index++) {
      for (const program of programs) {
        append(alone, program.name, [await start(program, 1, 1)]);
      }
    }
    console.log(`${ALONE_STARTS} starts, one at a time\n`);
    print(alone);
    const together = new Map<string, StartUsage[]>();
    for (let round = 0; round < TOGETHER_ROUNDS; round++) {
      for (const program of programs) {
        const numbers = Array.from({ length: TOGETHER_HOSTS }, (_, i) => i + 1);
        const usages = await Promise.all(
          numbers.map((number) => start(program, number, TOGETHER_HOSTS)),
        );
        append(together, program.name, usages);
      }
    }
    console.log(
      `\n${TOGETHER_HOSTS} starts at once, ${TOGETHER_ROUNDS} times\n`,
    );
    print(together);
  } finally {
    deployment.close();
    rmSync(folder, { recursive: true });
  }
}

function readPrograms(): Program[] {
  const others = (process.env.JACKDAWSHIFT_PROGRAMS ?? "").split(",")
    .filter((entry) => entry !== "")
    .map((entry) => {
      const [name, path] = entry.split("=");
      return { name, path };
    });
  return [...others, { name: "this", path: distPath("platform/main.js") }];
}

function append(
  usages: Map<string, StartUsage[]>,
  name: string,
  added: readonly StartUsage[],
): void {
  usages.set(name, [...usages.get(name) ?? [], ...added]);
}

function print(usages: ReadonlyMap<string, readonly StartUsage[]>): void {
  const rows: (string | number)[][] = [[
    "program",
    ...COLUMNS.map((column) => `${column} median, most`),
  ]];
  for (const [name, starts] of usages) {
    const cells = COLUMNS.map((column) => {
      const sorted = starts.map((usage) => usage[column]).sort((a, b) => a - b);
      const median = sorted[sorted.length >> 1];
      return `${median.toFixed(1)}, ${sorted[sorted.length - 1].toFixed(1)}`;
    });
    rows.push([name, ...cells]);
  }
  printRows(rows);
}

interface StartOptions {
  readonly program: Program;
  readonly number: number;
  readonly folder: string;
  readonly store: string;
  readonly pollIntervalMs: number;
}

async function measureStart(options: StartOptions): Promise<StartUsage> {
  const { program, number, folder, store, pollIntervalMs } = options;
  const ip = hostIp(number);
  const file = join(folder, `${number}.json`);
  writeFileSync(file, describeHost(ip, store));
  const startMs = performance.now();
  const sinceStart = () => performance.now() - startMs;
  const child = spawn(process.execPath, [...FLAGS, program.path], {
    env: { ...process.env, JACKDAWSHIFT_SETTINGS: file },
    stdio: ["ignore", "pipe", "inherit"],
  });
  try {
    const opened = waitForLine(child, "host started").then(sinceStart);
    await waitForHandlers(child, pollIntervalMs);
    const handlersMs = sinceStart();
    const portsMs = await opened;
    const cpuMs = readCpuMs(child.pid!);
    while (!await isReady(ip)) await systemClock.sleep(pollIntervalMs);
    const readyMs = sinceStart();
    await systemClock.sleep(SETTLE_MS);
    const memory = readMemory(child.pid!);
    return { handlersMs, portsMs, readyMs, cpuMs, ...memory };
  } finally {
    const ended = new Promise((resolve) => child.once("exit", resolve));
    child.kill("SIGKILL");
    await ended;
  }
}

function describeHost(ip: string, store: string): string {
  return JSON.stringify({
    ip,
    "outgoing-ip": ip,
    "node-name": ip,
    zone: "a",
    listen: { frontend: `${ip}:8080`, readiness: `${ip}:${READINESS_PORT}` },
    platform: { address: store },
    bounds: {},
  });
}

function waitForLine(child: ChildProcess, event: string): Promise<void> {
  let output = "";
  return new Promise((resolve) =>
    child.stdout!.on("data", (chunk) => {
      output += chunk;
      if (output.includes(event)) resolve();
    })
  );
}

function isReady(host: string): Promise<boolean> {
  return new Promise((resolve) => {
    get({ host, port: READINESS_PORT, agent: false }, (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    }).on("error", () => resolve(false));
  });
}

/** Processor time of all threads so far. */
function readCpuMs(pid: number): number {
  const tasks = `/proc/${pid}/task`;
  const usedNs = readdirSync(tasks).map((task) =>
    Number(readFileSync(join(tasks, task, "schedstat"), "utf8").split(" ")[0])
  );
  return usedNs.reduce((sum, used) => sum + used, 0) / 1e6;
}

function readMemory(
  pid: number,
): Pick<StartUsage, "residentMb" | "peakMb" | "privateMb"> {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const read = (name: string) =>
    Number(new RegExp(`${name}:\\s+(\\d+) kB`).exec(status)?.[1]) / KB_PER_MB;
  return {
    residentMb: read("VmRSS"),
    peakMb: read("VmHWM"),
    privateMb: read("RssAnon"),
  };
}

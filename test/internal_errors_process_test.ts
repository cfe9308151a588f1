/**
 * Hosts, as processes, in which errors that no code handles follow each other.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { afterEach, beforeEach, expect, test } from "vitest";
import { SETTINGS_VARIABLE } from "../platform/settings.ts";
import { systemClock } from "../src/common/clock.ts";
import { hostIp } from "../standins/loopback_address.ts";

const IP = hostIp(61);
const READINESS_PORT = 18_081;
const FAULT_AFTER_MS = 1_000;
const OBSERVED_MS = 1_500;
const START_TIMEOUT_MS = 10_000;

let folder: string;
let host: ChildProcess;
let log = "";

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), "internal-errors-"));
});

afterEach(() => {
  host.kill("SIGKILL");
  rmSync(folder, { recursive: true });
});

/** Starts a host in which `fault` runs a while after it handles such errors. */
function startHost(fault: string): void {
  const settings = join(folder, "settings.json");
  writeFileSync(
    settings,
    JSON.stringify({
      ip: IP,
      listen: {
        frontend: `${IP}:18080`,
        readiness: `${IP}:${READINESS_PORT}`,
      },
      platform: { address: `${IP}:1` },
      "port-range": [7_340, 7_349],
    }),
  );
  const preload = join(folder, "fault.mjs");
  // A start may take longer than the wait.
  writeFileSync(
    preload,
    `const poll = setInterval(() => {
       if (process.listenerCount("uncaughtException") === 0) return;
       clearInterval(poll);
       setTimeout(() => { ${fault} }, ${FAULT_AFTER_MS});
     }, 10);`,
  );
  log = "";
  host = spawn(
    process.execPath,
    ["--import", preload, "dist/platform/main.js"],
    {
      env: { ...process.env, [SETTINGS_VARIABLE]: settings },
      stdio: ["ignore", "pipe", "ignore"],
    },
  );
  host.stdout?.on("data", (chunk) => log += chunk);
}

/** Status of readiness, undefined without an answer. */
function status(): Promise<number | undefined> {
  return fetch(`http://${IP}:${READINESS_PORT}/`)
    .then((response) => response.status, () => undefined);
}

async function waitForStatus(): Promise<void> {
  const endMs = performance.now() + START_TIMEOUT_MS;
  while (await status() === undefined && performance.now() < endMs) {
    await systemClock.sleep(50);
  }
}

test.each([
  ["an error without a text", "throw Object.create(null)"],
  ["an error", 'throw new Error("again")'],
  ["a rejection", 'void Promise.reject(new Error("again"))'],
])(
  "a host goes on, with few lines of its log: each millisecond %s",
  async (_name, fault) => {
    startHost(`setInterval(() => { ${fault} }, 1);`);
    await waitForStatus();
    await systemClock.sleep(FAULT_AFTER_MS + OBSERVED_MS);
    expect(await status()).toBe(503);
    expect(log.match(/"internal error"/g)).toHaveLength(5);
  },
);

test("errors that leave no turn to requests end the host", async () => {
  startHost(
    'process.nextTick(function again() { process.nextTick(again); throw "again"; });',
  );
  const ended = new Promise((resolve) => host.once("exit", resolve));
  const code = await Promise.race([ended, systemClock.sleep(15_000)]);
  expect(code).toBe(1);
  expect(log.trim().split("\n").at(-1)).toContain("ending:");
});

/**
 * Signals to the platform's program while it starts, as a process.
 *
 * @module
 */

import { type ChildProcess, execFileSync, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { open } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, expect, test } from "vitest";
import { seededRandom } from "../src/common/random.ts";
import { hostIp } from "../standins/loopback_address.ts";
import {
  type ProcessEnd,
  waitForEnd,
  waitForHandlers,
} from "./early_handlers.ts";

let folder: string;
const children: ChildProcess[] = [];

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), "signals-"));
});

afterEach(() => {
  for (const child of children.splice(0)) child.kill("SIGKILL");
  rmSync(folder, { recursive: true });
});

function settings(ip: string): string {
  return JSON.stringify({
    ip,
    listen: { frontend: `${ip}:18080`, readiness: `${ip}:18081` },
    platform: { address: "127.0.0.1:1" },
    bounds: { "grace-s": 1 },
  });
}

interface Start {
  readonly child: ChildProcess;
  readonly events: () => unknown[];
  readonly ended: Promise<ProcessEnd>;
}

function start(file: string): Start {
  const child = spawn(process.execPath, ["dist/platform/main.js"], {
    env: { ...process.env, JACKDAWSHIFT_SETTINGS: file },
    stdio: ["ignore", "pipe", "inherit"],
  });
  children.push(child);
  let output = "";
  child.stdout!.on("data", (chunk) => output += chunk);
  const events = () =>
    output.split("\n").slice(0, -1).map((line) => JSON.parse(line).event);
  return { child, events, ended: waitForEnd(child) };
}

function writeSettings(ip: string): string {
  const file = join(folder, `${ip}.json`);
  writeFileSync(file, settings(ip));
  return file;
}

/** A settings file whose reader waits until it is written and closed. */
function createPipe(): string {
  const file = join(folder, "settings.json");
  execFileSync("mkfifo", [file]);
  return file;
}

test.each(
  [
    ["SIGTERM", ["SIGTERM"]],
    ["SIGINT", ["SIGINT"]],
    ["SIGTERM twice", ["SIGTERM", "SIGTERM"]],
    ["SIGHUP, then SIGTERM", ["SIGHUP", "SIGHUP", "SIGTERM"]],
  ] as const,
)(
  "%s before the program is loaded ends it with code 0 and one line",
  async (_name, signals) => {
    const file = createPipe();
    // Opened for both, as then opening waits neither here nor in the program.
    const pipe = await open(file, "r+");
    const host = start(file);
    await waitForHandlers(host.child);
    for (const signal of signals) host.child.kill(signal);
    await pipe.writeFile(settings(hostIp(1)));
    await pipe.close();
    expect(await host.ended).toEqual({ code: 0, signal: null });
    expect(host.events()).toEqual(["stopped before the host started"]);
  },
);

test("SIGHUP before the settings are read reloads the started host", async () => {
  const file = createPipe();
  const host = start(file);
  // Resolves when the program opens it for reading.
  const writer = await open(file, "w");
  for (const _ of [1, 2]) host.child.kill("SIGHUP");
  await writer.writeFile(settings(hostIp(1)));
  await writer.close();
  await expect.poll(host.events, { timeout: 20_000 }).toEqual(
    expect.arrayContaining([
      "host started",
      expect.stringMatching(/^reload requested/),
    ]),
  );
  host.child.kill("SIGTERM");
  expect(await host.ended).toEqual({ code: 0, signal: null });
});

test("signals at any moment after the handlers leave the end to the program", async () => {
  const seed = Number(process.env.SIGNALS_SEED ?? Date.now() % 2 ** 31);
  const random = seededRandom(seed);
  const ends = Array.from({ length: 4 }, async (_, index) => {
    const [firstMs, secondMs] = [random() * 400, random() * 100];
    const host = start(writeSettings(hostIp(index + 1)));
    await waitForHandlers(host.child);
    await sleep(firstMs);
    host.child.kill("SIGHUP");
    await sleep(secondMs);
    for (const _ of [1, 2]) host.child.kill("SIGTERM");
    return await host.ended;
  });
  for (const end of await Promise.all(ends)) {
    expect(end, `SIGNALS_SEED=${seed}`).toEqual({ code: 0, signal: null });
  }
});

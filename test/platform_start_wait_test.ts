/**
 * The platform's program, as a process, while its settings file or a port cannot
 * be used for a moment, or its settings change.
 *
 * @module
 */

import { type ChildProcess, execFileSync, spawn } from "node:child_process";
import { createSocket } from "node:dgram";
import { mkdtempSync, renameSync, rmSync, writeFileSync } from "node:fs";
import { open } from "node:fs/promises";
import { createServer, type Server } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { createInterface } from "node:readline";
import { afterEach, beforeEach, expect, test } from "vitest";
import { hostIp } from "../standins/loopback_address.ts";

const IP = hostIp(1);
const FRONTEND_PORT = 18_080;
const PEER_PORT = 7_340;
const METRICS_PORT = 9_464;
const SETTINGS = JSON.stringify({
  ip: IP,
  listen: { frontend: `${IP}:${FRONTEND_PORT}`, readiness: `${IP}:18081` },
  platform: { address: `${IP}:1` },
  "port-range": [PEER_PORT, PEER_PORT + 2],
  bounds: {},
});

let folder: string;
let file: string;
let child: ChildProcess | undefined;
let holders: (() => void)[] = [];

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), "settings-"));
  file = join(folder, "settings.json");
});

afterEach(async () => {
  const ended = new Promise((resolve) => child?.once("exit", resolve));
  if (child?.kill("SIGKILL")) await ended;
  for (const release of holders) release();
  holders = [];
  rmSync(folder, { recursive: true });
});

type Line = Readonly<Record<string, unknown>>;

interface Start {
  readonly lines: readonly Line[];
  /** Resolves to false if the process ends without a line of the event. */
  readonly until: (event: string) => Promise<boolean>;
}

function startHost(): Start {
  child = spawn(process.execPath, ["dist/platform/main.js"], {
    env: { ...process.env, JACKDAWSHIFT_SETTINGS: file },
    stdio: ["ignore", "pipe", "inherit"],
  });
  const lines: Line[] = [];
  const output = createInterface({ input: child.stdout! })
    .on("line", (text) => lines.push(JSON.parse(text)));
  const until = (event: string): Promise<boolean> =>
    new Promise((resolve) => {
      const check = (): void => {
        if (lines.some((line) => line.event === event)) resolve(true);
      };
      check();
      output.on("line", check).on("close", () => resolve(false));
    });
  return { lines, until };
}

async function holdTcp(port: number): Promise<Server> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(port, IP, resolve));
  holders.push(() => server.close());
  return server;
}

async function holdUdp(port: number): Promise<void> {
  const socket = createSocket("udp4");
  await new Promise<void>((resolve) => socket.bind(port, IP, resolve));
  holders.push(() => socket.close());
}

test("a settings file that is half written at first does not end the process", async () => {
  execFileSync("mkfifo", [file]);
  const { lines, until } = startHost();
  // Opening waits until the program reads.
  const writer = await open(file, "w");
  await writer.writeFile(SETTINGS.slice(0, SETTINGS.length / 2));
  writeFileSync(`${file}.new`, SETTINGS);
  renameSync(`${file}.new`, file);
  await writer.close();
  expect(await until("host started")).toBe(true);
  const unusable = "settings file was unusable at first";
  expect(lines.filter(({ event }) => event === unusable)).toHaveLength(1);
});

test.each([["TCP", holdTcp], ["UDP", holdUdp]])(
  "a first peer port that is taken over %s does not end the process",
  async (_name, hold) => {
    await hold(PEER_PORT);
    writeFileSync(file, SETTINGS);
    const { lines, until } = startHost();
    expect(await until("host started")).toBe(true);
    expect(lines).toContainEqual(expect.objectContaining({
      event: "peer port in use, using another one of the range",
      port: PEER_PORT + 1,
    }));
  },
);

test("a frontend port that is freed after a moment does not end the process", async () => {
  const holder = await holdTcp(FRONTEND_PORT);
  writeFileSync(file, SETTINGS);
  const { lines, until } = startHost();
  const waiting = "waiting for a port in use";
  expect(await until(waiting)).toBe(true);
  holder.close();
  expect(await until("host started")).toBe(true);
  expect(lines.filter(({ event }) => event === waiting)).toHaveLength(1);
});

test("a metrics port that is taken does not end the process, and is opened once free", async () => {
  const holder = await holdTcp(METRICS_PORT);
  writeFileSync(file, SETTINGS);
  const { until } = startHost();
  expect(await until("metrics port not opened; serving without metrics")).toBe(
    true,
  );
  expect(await until("host started")).toBe(true);
  holder.close();
  let text = "";
  while (!text.includes("# TYPE")) {
    await new Promise((resolve) => setTimeout(resolve, 100));
    text = await fetch(`http://${IP}:${METRICS_PORT}/metrics`)
      .then((answer) => answer.text()).catch(() => "");
  }
});

test("a bound that changes without a signal is in force at a running host", async () => {
  const graceMs = (seconds: number): void =>
    writeFileSync(
      file,
      JSON.stringify({
        ...JSON.parse(SETTINGS),
        bounds: { "grace-s": seconds },
      }),
    );
  graceMs(600);
  const { lines, until } = startHost();
  expect(await until("host started")).toBe(true);
  graceMs(1);
  expect(await until("settings changed")).toBe(true);
  const ended = new Promise((resolve) => child?.once("exit", resolve));
  child?.kill("SIGTERM");
  expect(await ended).toBe(0);
  expect(lines.at(-1)).toMatchObject({ event: "host stopped" });
});

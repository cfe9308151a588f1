/**
 * Signals to the daemon while it starts and runs, as a process.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import process from "node:process";
import { afterEach, beforeEach, expect, test } from "vitest";
import {
  type ProcessEnd,
  waitForEnd,
  waitForHandlers,
} from "./early_handlers.ts";
import { distPath } from "./processes.ts";

let child: ChildProcess;
let output: string;
let ended: Promise<ProcessEnd>;

beforeEach(() => {
  child = spawn(process.execPath, [
    distPath("src/daemon/main.js"),
    "--failure-domain=nave-a",
    "--caller-port=0",
    "--operator-port=0",
    "--peer-port=0",
    "--log-url=http://127.0.0.1:1",
    "--host-list-url=http://127.0.0.1:1",
  ], {
    env: {
      PATH: process.env["PATH"],
      JACKDAWSHIFT_PEER_SECRET: "secret-of-the-hosts-of-this-test",
      JACKDAWSHIFT_OPERATOR_KEYS: `demo:${"0".repeat(64)}`,
    },
  });
  output = "";
  for (const stream of [child.stdout!, child.stderr!]) {
    stream.on("data", (chunk) => output += chunk);
  }
  ended = waitForEnd(child);
});

afterEach(() => void child.kill("SIGKILL"));

test.each(
  [
    [["SIGTERM"]],
    [["SIGINT"]],
    [["SIGHUP", "SIGHUP", "SIGTERM"]],
  ] as const,
)(
  "%s before the daemon is loaded leaves its end to the daemon",
  async (signals) => {
    await waitForHandlers(child);
    for (const signal of signals) child.kill(signal);
    expect(await ended).toEqual({ code: 0, signal: null });
    expect(output).toMatch(/"ready":true|stopped before the host started/);
  },
);

test("SIGHUP does not end a running daemon", async () => {
  const outputOf = () => output;
  await expect.poll(outputOf, { timeout: 20_000 }).toContain('"ready":true');
  child.kill("SIGHUP");
  await expect.poll(outputOf, { timeout: 20_000 }).toContain(
    "reload requested; a running host keeps its settings",
  );
  child.kill("SIGTERM");
  expect(await ended).toEqual({ code: 0, signal: null });
});

import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, openSync } from "node:fs";
import process from "node:process";
import { afterEach, expect, test } from "vitest";
import { systemClock } from "../src/common/clock.ts";
import { hostIp } from "../standins/loopback_address.ts";
import { distPath } from "./processes.ts";

const CALLER_URL = `http://${hostIp(62)}:18080`;
const START_TIMEOUT_MS = 15_000;
/** Long enough for several lines about the log service, which is not there. */
const OBSERVED_MS = 3_000;

let daemon: ChildProcess;

afterEach(() => daemon.kill("SIGKILL"));

function isAlive(): Promise<boolean> {
  return fetch(`${CALLER_URL}/healthz`).then(({ ok }) => ok, () => false);
}

test("the daemon serves although neither its log nor its ready line can be written", async () => {
  const sink = openSync("/dev/full", "w");
  daemon = spawn(process.execPath, [
    distPath("src/daemon/main.js"),
    "--failure-domain=a",
    `--listen-address=${hostIp(62)}`,
    "--caller-port=18080",
    "--operator-port=0",
    "--peer-port=0",
    "--log-url=http://127.0.0.1:1",
    "--host-list-url=http://127.0.0.1:1",
  ], {
    env: {
      ...process.env,
      JACKDAWSHIFT_PEER_SECRET: "a-secret-of-the-peers",
      JACKDAWSHIFT_OPERATOR_KEYS: `ana:${"0".repeat(64)}`,
    },
    stdio: ["ignore", sink, sink],
  });
  closeSync(sink);
  const endMs = performance.now() + START_TIMEOUT_MS;
  while (!await isAlive() && performance.now() < endMs) {
    await systemClock.sleep(100);
  }
  await systemClock.sleep(OBSERVED_MS);
  expect(daemon.exitCode).toBeNull();
  expect(await isAlive()).toBe(true);
});

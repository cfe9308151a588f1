/**
 * The bundled program of the platform, as a process.
 *
 * @module
 */

import { type ChildProcess, execFileSync, spawn } from "node:child_process";
import { mkdtempSync, readdirSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { expect, test } from "vitest";
import { hostIp } from "../standins/loopback_address.ts";
import { waitForEnd } from "./early_handlers.ts";

test("the bundled program starts with 64 descriptors and without its packages", async () => {
  const folder = mkdtempSync(join(tmpdir(), "bundle-"));
  let child: ChildProcess | undefined;
  try {
    execFileSync(process.execPath, ["scripts/bundle_host.mjs", "dist", folder]);
    expect(readdirSync(folder).sort()).toEqual(["host_program.js", "main.js"]);
    writeFileSync(join(folder, "package.json"), `{"type":"module"}`);
    const ip = hostIp(1);
    const file = join(folder, "settings.json");
    writeFileSync(
      file,
      JSON.stringify({
        ip,
        listen: { frontend: `${ip}:18080`, readiness: `${ip}:18081` },
        platform: { address: "127.0.0.1:1" },
        bounds: { "grace-s": 1 },
      }),
    );
    child = spawn("sh", [
      "-c",
      'ulimit -n 64 && exec "$0" "$1"',
      process.execPath,
      join(folder, "main.js"),
    ], {
      env: { ...process.env, JACKDAWSHIFT_SETTINGS: file },
      stdio: ["ignore", "pipe", "pipe"],
    });
    let errors = "";
    child.stderr!.on("data", (chunk) => errors += chunk);
    child.stdout!.on("data", (chunk) => {
      if (String(chunk).includes("host started")) child?.kill("SIGTERM");
    });
    expect(await waitForEnd(child)).toEqual({ code: 0, signal: null });
    expect(errors).toBe("");
  } finally {
    child?.kill("SIGKILL");
    rmSync(folder, { recursive: true });
  }
});

import { spawn } from "node:child_process";
import { closeSync, openSync } from "node:fs";
import { createServer, type IncomingMessage, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import process from "node:process";
import { Writable } from "node:stream";
import { afterEach, beforeEach, expect, test } from "vitest";
import { applyPatch } from "../config/patch.ts";
import { type Config, EMPTY_CONFIG } from "../config/schema.ts";
import { runTool } from "./run_tool.ts";

const TOKEN = "operator-token-of-the-test";

let server: Server;
let version: number;
let config: Config;
/** Simulates a change by another operator between reading and patching. */
let isVersionStale: boolean;

beforeEach(async () => {
  version = 0;
  config = EMPTY_CONFIG;
  isVersionStale = false;
  server = createServer(async (request, response) => {
    const { status, document } = await answer(request);
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(document));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
});

afterEach(() => new Promise((resolve) => server.close(resolve)));

async function answer(request: IncomingMessage) {
  const route = `${request.method} ${request.url?.split("?")[0]}`;
  if (request.headers.authorization !== `Bearer ${TOKEN}`) {
    return problem(401, "unauthorized");
  }
  if (route === "GET /operator/config") {
    return { status: 200, document: { version, offset: version - 1, config } };
  }
  if (route === "GET /operator/status") {
    const targets = [{ name: "etapa-a", state: "live" }];
    return { status: 200, document: { host: "h1", version, targets } };
  }
  if (route === "GET /operator/audit") {
    const entry = { offset: 0, atWallMs: 0, operator: "ana", patch: {} };
    const entries = [
      { ...entry, baseVersion: 0, result: "superseded" },
      { ...entry, baseVersion: 0, result: "accepted", version: 1, note: "n" },
    ];
    return { status: 200, document: { entries } };
  }
  const isPlan = route === "POST /operator/config/plan";
  if (!isPlan && route !== "PATCH /operator/config") {
    return problem(404, "not-found");
  }
  if (isVersionStale) version += 1;
  if (request.headers["if-match"] !== `"${version}"`) {
    return problem(409, "stale-version", { currentVersion: version });
  }
  const chunks = await request.toArray();
  const patch = JSON.parse(Buffer.concat(chunks).toString());
  const patched = applyPatch(config, { format: "merge-patch", patch });
  if (patched.isErr()) {
    return problem(422, "bad-request", { faults: patched.error.faults });
  }
  if (isPlan) return { status: 200, document: { config: patched.value } };
  config = patched.value;
  version += 1;
  return { status: 200, document: { version, offset: version - 1 } };
}

function problem(status: number, code: string, members: object = {}) {
  return { status, document: { code, detail: "rejected", ...members } };
}

async function run(args: string[], env: Record<string, string> = {}) {
  const { port } = server.address() as AddressInfo;
  const output = { stdout: "", stderr: "" };
  const createWriter = (name: keyof typeof output) =>
    new Writable({
      write(chunk, _encoding, done) {
        output[name] += chunk;
        done();
      },
    });
  const code = await runTool(args, {
    env: {
      JACKDAWSHIFT_OPERATOR_URL: `http://127.0.0.1:${port}`,
      JACKDAWSHIFT_OPERATOR_TOKEN: TOKEN,
      ...env,
    },
    stdout: createWriter("stdout"),
    stderr: createWriter("stderr"),
  });
  return { code, ...output };
}

test("plan changes nothing; apply applies the declarations", async () => {
  const planned = await run(["config", "plan", "examples/demo"]);
  expect(planned).toMatchObject({ code: 0, stderr: "" });
  expect(planned.stdout).toContain("+ /pipelines/escriba");
  expect(planned.stdout).not.toMatch(/[0-9a-f]{64}/);
  expect(version).toBe(0);
  const applied = await run(["config", "apply", "examples/demo"]);
  expect(applied.stdout).toContain("version 1 is current");
  const again = await run(["config", "apply", "examples/demo", "--json"]);
  expect(JSON.parse(again.stdout)).toMatchObject({
    version: 1,
    differences: [],
  });
});

test("output that cannot be written does not change the exit code of an apply", async () => {
  const { port } = server.address() as AddressInfo;
  const sink = openSync("/dev/full", "w");
  const tool = spawn(
    process.execPath,
    ["dist/src/tool/main.js", "config", "apply", "examples/demo"],
    {
      env: {
        ...process.env,
        JACKDAWSHIFT_OPERATOR_URL: `http://127.0.0.1:${port}`,
        JACKDAWSHIFT_OPERATOR_TOKEN: TOKEN,
      },
      stdio: ["ignore", sink, sink],
    },
  );
  closeSync(sink);
  expect(await new Promise((resolve) => tool.once("exit", resolve))).toBe(0);
  expect(version).toBe(1);
});

test("draining a target changes the configuration", async () => {
  await run(["config", "apply", "examples/demo"]);
  const drained = await run(["drain", "target", "etapa-b"]);
  expect(drained).toMatchObject({ code: 0 });
  expect(config.targets["etapa-b"].draining).toBe(true);
  await run(["drain", "target", "etapa-b", "--undo"]);
  expect(config.targets["etapa-b"].draining).toBe(false);
});

test("an apply with an outdated base version is rejected as stale", async () => {
  isVersionStale = true;
  const rejected = await run(["config", "apply", "examples/demo"]);
  expect(rejected.code).toBe(4);
  expect(rejected.stderr).toContain("version 1 is current");
});

const READ_CASES: [string[], RegExp][] = [
  [["status"], /host +h1\n[^]*targets\nNAME +STATE\netapa-a +live/],
  [["audit"], /ana +0 +superseded[^]*ana +0 +accepted/],
  [["config", "history"], /^VERSION.*\n1 +1970\S+ +ana +n\n$/],
  [["config", "get"], /^version 0 \(log offset -1\)/],
];

test.each(READ_CASES)(
  "%s prints text, and JSON with --json",
  async (args, text) => {
    expect((await run(args)).stdout).toMatch(text);
    expect(JSON.parse((await run([...args, "--json"])).stdout)).toBeTypeOf(
      "object",
    );
  },
);

const EXIT_CASES: [string, string[], Record<string, string>, number][] = [
  ["unknown command", ["fly"], {}, 2],
  ["invalid limit", ["audit", "--limit", "none"], {}, 2],
  ["invalid URL", ["status", "--operator-url", "ftp://x"], {}, 2],
  ["no such directory", ["config", "plan", "/nowhere"], {}, 2],
  ["unreachable", ["status", "--operator-url", "http://127.0.0.1:1"], {}, 3],
  ["invalid token", ["status"], { JACKDAWSHIFT_OPERATOR_TOKEN: "x" }, 1],
  ["unknown request", ["explain", "r-1"], {}, 1],
  ["unknown target", ["drain", "target", "nobody"], {}, 1],
];

test.each(EXIT_CASES)(
  "%s gives the documented exit code",
  async (_, args, env, code) => {
    const result = await run(args, env);
    expect(result.code).toBe(code);
    expect(result.stdout + result.stderr).not.toContain(TOKEN);
  },
);

import { execFile } from "node:child_process";
import process from "node:process";
import { expect, test } from "vitest";

/** Covers startup, faults, recovery and the checked time after it. */
const TIMEOUT_MS = 90_000;

test.each([
  ["a short run of one seed", ["--seed", "1", "--trouble-s", "6"]],
  ["a short run with a drill of the store", [
    "--seed",
    "12",
    "--trouble-s",
    "6",
  ]],
  // A content of all callers met the targets that another content ended.
  ["a run with contents that end their servers", ["--seed", "5000"]],
  // Streams ended servers whose ports closed late, at another event each time.
  ["a run with streams that end their servers unseen", ["--seed", "8306"]],
  ["a run with a prompt part that ends its servers", [
    "--seed",
    "9200",
    "--prompt-part",
  ]],
  // A content of all callers was quarantined with those that ended all servers.
  ["a run with servers that end silently at once", ["--seed", "8609"]],
])("%s violates no invariant", async (_name, options) => {
  const soak = await runSoak(options);
  expect(soak.stdout + soak.stderr).toContain("1 seeds, 0 with a violated");
  expect(soak.status).toBe(0);
}, TIMEOUT_MS + 5_000);

test("an option that is not a number is rejected with its name", async () => {
  const soak = await runSoak(["--seeds", "many"]);
  expect(soak.stderr).toContain(
    '--seeds: "many" is invalid; expected an integer',
  );
  expect(soak.status).toBe(2);
});

interface Ended {
  readonly status: number | string;
  readonly stdout: string;
  readonly stderr: string;
}

/** Does not block the worker, whose messages to the test runner time out. */
function runSoak(options: readonly string[]): Promise<Ended> {
  return new Promise((resolve) =>
    execFile(
      process.execPath,
      ["dist/soak/main.js", ...options],
      { timeout: TIMEOUT_MS },
      (error, stdout, stderr) =>
        resolve({
          status: error?.code ?? (error ? "killed" : 0),
          stdout,
          stderr,
        }),
    )
  );
}

import { spawnSync } from "node:child_process";
import process from "node:process";
import { expect, test } from "vitest";

/** Covers startup, faults, recovery and the checked time after it. */
const TIMEOUT_MS = 90_000;

test("a short run of one seed violates no invariant", () => {
  const soak = spawnSync(
    process.execPath,
    ["dist/soak/main.js", "--seed", "1", "--trouble-s", "6"],
    { encoding: "utf8", timeout: TIMEOUT_MS },
  );
  expect(soak.stdout + soak.stderr).toContain("1 seeds, 0 with a violated");
  expect(soak.status).toBe(0);
}, TIMEOUT_MS + 5_000);

test("an option that is not a number is rejected with its name", () => {
  const soak = spawnSync(
    process.execPath,
    ["dist/soak/main.js", "--seeds", "many"],
    { encoding: "utf8", timeout: TIMEOUT_MS },
  );
  expect(soak.stderr).toContain(
    '--seeds: "many" is invalid; expected an integer',
  );
  expect(soak.status).toBe(2);
});

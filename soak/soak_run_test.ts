import { spawnSync } from "node:child_process";
import process from "node:process";
import { expect, test } from "vitest";

/** Start, troubles, the time to recover and the check after it. */
const TIMEOUT_MS = 90_000;

test("a short run of one seed breaks no promise", () => {
  const soak = spawnSync(
    process.execPath,
    ["dist/soak/main.js", "--seed", "1", "--trouble-s", "6"],
    { encoding: "utf8", timeout: TIMEOUT_MS },
  );
  expect(soak.stdout + soak.stderr).toContain("1 seeds, 0 with a broken");
  expect(soak.status).toBe(0);
}, TIMEOUT_MS + 5_000);

test("an option that is no number is refused with its name", () => {
  const soak = spawnSync(
    process.execPath,
    ["dist/soak/main.js", "--seeds", "many"],
    { encoding: "utf8", timeout: TIMEOUT_MS },
  );
  expect(soak.stderr).toContain('--seeds: "many" is not a whole number');
  expect(soak.status).toBe(2);
});

// Installs the locked packages when they are missing and compiles the tree,
// so that one npm command works from a fresh clone.
import { spawnSync } from "node:child_process";
import { existsSync } from "node:fs";

function run(command, args) {
  const outcome = spawnSync(command, args, { stdio: "inherit" });
  if (outcome.status !== 0) process.exit(outcome.status ?? 1);
}

if (!existsSync("node_modules/.bin/tsc")) run("npm", ["ci"]);
run("node_modules/.bin/tsc", ["-p", "tsconfig.json"]);

/**
 * Runs experiments by name: `npm run measure -- [name …]`. Without a name it
 * lists them. An experiment is a module in this folder that exports `run`.
 *
 * @module
 */

import { readdirSync } from "node:fs";
import { cpus, totalmem } from "node:os";
import process from "node:process";
import { fileURLToPath } from "node:url";

const BYTES_PER_GIB = 1 << 30;
const folder = fileURLToPath(new URL(".", import.meta.url));
const names = readdirSync(folder)
  .filter((file) => file.endsWith(".js") && file !== "main.js")
  .map((file) => file.slice(0, -".js".length));

const requested = process.argv.slice(2);
const unknown = requested.filter((name) => !names.includes(name));
if (requested.length === 0 || unknown.length > 0) {
  for (const name of unknown) console.error(`unknown experiment "${name}"`);
  console.log(`experiments: ${names.join(", ")}`);
  process.exitCode = unknown.length > 0 ? 2 : 0;
} else {
  console.log(describeMachine());
  for (const name of requested) await runExperiment(name);
}

async function runExperiment(name: string): Promise<void> {
  const experiment = await import(`./${name}.js`);
  if (typeof experiment.run !== "function") {
    throw new Error(`experiment "${name}" does not export a run() function`);
  }
  console.log(`\n## ${name}\n`);
  const startedMs = performance.now();
  await experiment.run();
  console.log(
    `\nrun time: ${((performance.now() - startedMs) / 1_000).toFixed(1)} s`,
  );
}

function describeMachine(): string {
  const memoryGib = Math.round(totalmem() / BYTES_PER_GIB);
  return `machine: ${cpus().length} cores, ${memoryGib} GiB, Node.js ${process.version}`;
}

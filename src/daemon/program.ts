/**
 * The program of the daemon `jackdawshiftd`, which its entry point imports:
 * checks the settings, runs one host and shuts it down at the first signal. A
 * second signal ends the process at once.
 *
 * @module
 */

import process from "node:process";
import { Cli } from "clipanion";
import type { EarlySignals } from "../common/early_signals.ts";
import { createDaemonCommand, type Flags } from "./command.ts";
import type { Host } from "./host.ts";
import { readSettings, SettingError, type Settings } from "./settings.ts";

const EXIT_FORCED = 130;
const EXIT_USAGE = 2;

/** Runs the command line; resolves when the process is to end by itself. */
export async function runCommandLine(signals: EarlySignals): Promise<void> {
  const cli = new Cli({
    binaryName: "jackdawshiftd",
    binaryLabel: "jackdawshift daemon",
  });
  cli.register(createDaemonCommand((flags) => runDaemon(flags, signals)));
  const cliArguments = process.argv.slice(2);
  if (cliArguments.includes("--help") || cliArguments.includes("-h")) {
    const [command] = cli.definitions();
    process.stdout.write(`${cli.usage(null, { detailed: true })}\n`);
    if (command === undefined) process.exitCode = EXIT_USAGE;
  } else {
    process.exitCode = await cli.run(cliArguments, Cli.defaultContext);
  }
}

async function runDaemon(
  flags: Flags,
  signals: EarlySignals,
): Promise<number> {
  const settings = readCheckedSettings(flags);
  if (settings === undefined) return EXIT_USAGE;
  const host = await createHost(settings);
  await signals.settle();
  const addresses = await host.start();
  process.stdout.on("error", host.reportOutputError);
  process.stdout.write(
    `${JSON.stringify({ ready: true, host: host.name, ...addresses })}\n`,
  );
  const stopped = waitForSignal();
  process.on("SIGHUP", reportReload);
  if (signals.release()) reportReload();
  await stopped;
  await host.stop();
  process.exit(0);
}

/**
 * Imports the rest of the program after the settings were checked. Deprecation
 * warnings are off meanwhile, since a dependency of restify uses
 * `process.binding` and the warning is of no use to operators.
 */
async function createHost(settings: Settings): Promise<Host> {
  process.noDeprecation = true;
  const { Host } = await import("./host.ts");
  process.noDeprecation = false;
  return new Host({ settings });
}

function readCheckedSettings(flags: Flags): Settings | undefined {
  try {
    return readSettings({ flags, environment: process.env });
  } catch (error) {
    if (!(error instanceof SettingError)) throw error;
    process.stderr.write(`jackdawshiftd: ${error.message}\n`);
    return undefined;
  }
}

function reportReload(): void {
  process.stderr.write(
    "jackdawshiftd: reload requested; a running host keeps its settings\n",
  );
}

function waitForSignal(): Promise<void> {
  return new Promise((resolve) => {
    for (const name of ["SIGTERM", "SIGINT"] as const) {
      process.once(name, () => {
        process.on(name, () => process.exit(EXIT_FORCED));
        resolve();
      });
    }
  });
}

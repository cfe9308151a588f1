/**
 * Parses the command line and runs one command.
 *
 * @module
 */

import {
  type BaseContext,
  Builtins,
  Cli,
  type Command,
  type CommandClass,
} from "clipanion";
import {
  AuditCommand,
  ConfigHistoryCommand,
} from "./commands/audit_commands.ts";
import {
  ConfigApplyCommand,
  ConfigGetCommand,
  ConfigPlanCommand,
} from "./commands/config_commands.ts";
import {
  DrainCommand,
  ExplainCommand,
  StatusCommand,
} from "./commands/fleet_commands.ts";
import { EXIT_CODES } from "./exit_codes.ts";

const COMMANDS = [
  AuditCommand,
  ConfigApplyCommand,
  ConfigGetCommand,
  ConfigHistoryCommand,
  ConfigPlanCommand,
  DrainCommand,
  ExplainCommand,
  StatusCommand,
  Builtins.HelpCommand,
  Builtins.VersionCommand,
];

/** Runs the command line `args`; resolves with the exit code. */
export async function runTool(
  args: readonly string[],
  context: Partial<BaseContext>,
  additionalCommands: readonly CommandClass[] = [],
): Promise<number> {
  const cli = new Cli({
    binaryName: "jackdawshift",
    binaryLabel: "jackdawshift",
    binaryVersion: "0.1.0",
  });
  for (const command of [...COMMANDS, ...additionalCommands]) {
    cli.register(command);
  }
  keepExitCode(context);
  let command: Command;
  try {
    command = cli.process([...args], context);
  } catch (error) {
    context.stderr?.write(cli.error(error, { colored: false }));
    return EXIT_CODES.usage;
  }
  return await cli.run(command, context);
}

/**
 * The exit code tells what became of a change, so output that nobody reads, or
 * for which there is no room, must not end the process with another one.
 */
function keepExitCode({ stdout, stderr }: Partial<BaseContext>): void {
  stdout?.on("error", ({ code, message }: NodeJS.ErrnoException) => {
    if (code !== "EPIPE") stderr?.write(`output lost: ${message}\n`);
  });
  // Nobody is left to tell.
  stderr?.on("error", () => {});
}

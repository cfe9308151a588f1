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

/** Runs the command line `args`, with `more` commands; resolves with the exit code. */
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
  let command: Command;
  try {
    command = cli.process([...args], context);
  } catch (error) {
    context.stderr?.write(cli.error(error, { colored: false }));
    return EXIT_CODES.usage;
  }
  return await cli.run(command, context);
}

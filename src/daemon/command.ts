/**
 * The command line of `jackdawshiftd`, generated from the table of settings.
 *
 * @module
 */

import { Command, type CommandClass, Option } from "clipanion";
import {
  environmentOf,
  flagOf,
  type SettingDefinition,
  SETTINGS,
} from "./settings.ts";

/** Values of the flags by the name of their setting. */
export type Flags = Readonly<Partial<Record<string, string>>>;

/** Creates the command; `run` receives the flags and resolves with the exit code. */
export function createDaemonCommand(
  run: (flags: Flags) => Promise<number>,
): CommandClass {
  return class DaemonCommand extends Command {
    static override paths = [Command.Default];
    static override usage = Command.Usage({
      description: "Runs one entry host of jackdawshift.",
      details:
        `Secrets are read from the environment only: ${describeSecrets()}.`,
    });

    constructor() {
      super();
      for (const [name, definition] of flaggedSettings()) {
        const description = describeSetting(name, definition);
        Object.assign(this, {
          [name]: Option.String(flagOf(name), { description }),
        });
      }
    }

    override execute(): Promise<number> {
      const flags = flaggedSettings().map((
        [name],
      ) => [name, Reflect.get(this, name)]);
      return run(Object.fromEntries(flags));
    }
  };
}

/** Describes a setting in one line: purpose, allowed values, default, environment variable. */
export function describeSetting(
  name: string,
  definition: SettingDefinition<unknown>,
): string {
  const fallback = definition.required
    ? "required"
    : `default "${definition.default}"`;
  return `${definition.description} (${definition.allowed}; ${fallback}; ${
    environmentOf(name)
  })`;
}

function flaggedSettings(): [string, SettingDefinition<unknown>][] {
  return Object.entries(SETTINGS).filter(([, definition]) =>
    !isSecret(definition)
  );
}

function describeSecrets(): string {
  return Object.entries(SETTINGS)
    .filter(([, definition]) => isSecret(definition))
    .map(([name, definition]) => describeSetting(name, definition))
    .join("; ");
}

function isSecret(definition: SettingDefinition<unknown>): boolean {
  return definition.secret === true;
}

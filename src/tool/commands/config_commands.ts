/**
 * Commands that read and change the configuration.
 *
 * @module
 */

import mergePatch from "json-merge-patch";
import { Command, Option } from "clipanion";
import type { ConfigState } from "../../config/types.ts";
import {
  diffConfig,
  type Difference,
  formatDifference,
} from "../config_diff.ts";
import { readDeclarations } from "../declarations.ts";
import { EXIT_CODES, EXIT_CODES_HELP } from "../exit_codes.ts";
import type { ConfigPatch, OperatorClient } from "../operator_client.ts";
import { OperatorCommand } from "./operator_command.ts";

/** A patch that makes the declarations of the present configuration. */
interface DeclaredChange {
  readonly change: ConfigPatch;
  readonly differences: readonly Difference[];
}

abstract class DeclarationsCommand extends OperatorCommand {
  directory = Option.String({ required: true, name: "directory" });

  /** Computes the change and prints a failure; resolves with an exit code then. */
  protected async readChange(
    client: OperatorClient,
    note?: string,
  ): Promise<DeclaredChange | number> {
    const declared = await readDeclarations(this.directory);
    if (declared.isErr()) {
      return this.printUsageError(declared.error.message, declared.error);
    }
    const current = await client.readConfig();
    if (current.isErr()) return this.printFailure(current.error);
    const { version, config } = current.value;
    const patch = mergePatch.generate(config, declared.value) ?? {};
    return {
      change: { baseVersion: version, patch, note },
      differences: diffConfig(config, declared.value),
    };
  }

  protected printChange(document: object, declared: DeclaredChange): void {
    const { change, differences } = declared;
    const lines = differences.map(formatDifference);
    const count =
      `${lines.length} difference(s) from version ${change.baseVersion}`;
    this.print(
      { baseVersion: change.baseVersion, ...document, differences },
      () => [...lines, count, ""].join("\n"),
    );
  }
}

/** Shows what `config apply` would change. */
export class ConfigPlanCommand extends DeclarationsCommand {
  static override paths = [["config", "plan"]];
  static override usage = Command.Usage({
    category: "Configuration",
    description: "show what the declarations of a directory would change",
    details:
      `Reads all .json files below the directory, joins them and compares the whole with the configuration in force. Nothing is changed. ${EXIT_CODES_HELP}`,
    examples: [["Plan", "$0 config plan examples/ferias"]],
  });

  protected async runCommand(client: OperatorClient): Promise<number> {
    const declared = await this.readChange(client);
    if (typeof declared === "number") return declared;
    const planned = await client.planConfig(declared.change);
    if (planned.isErr()) return this.printFailure(planned.error);
    this.printChange({ patch: declared.change.patch }, declared);
    return EXIT_CODES.ok;
  }
}

/** Puts the declarations of a directory in force. */
export class ConfigApplyCommand extends DeclarationsCommand {
  static override paths = [["config", "apply"]];
  static override usage = Command.Usage({
    category: "Configuration",
    description: "put the declarations of a directory in force",
    details:
      `Sends the difference as a patch against the version that it was computed from. When another operator was faster, nothing is changed and the exit code is 4. ${EXIT_CODES_HELP}`,
    examples: [[
      "Apply",
      "$0 config apply examples/ferias --note 'add a barn'",
    ]],
  });

  note = Option.String("--note", {
    description: "note for the audit trail",
  });

  baseVersion = Option.String("--base-version", {
    description: "refuse unless this version is in force",
  });

  protected async runCommand(client: OperatorClient): Promise<number> {
    const declared = await this.readChange(client, this.note);
    if (typeof declared === "number") return declared;
    const { change, differences } = declared;
    if (
      this.baseVersion !== undefined &&
      this.baseVersion !== String(change.baseVersion)
    ) {
      return this.printFailure({
        verdict: "not-run",
        code: "stale-version",
        message:
          `version ${change.baseVersion} is in force, not ${this.baseVersion}`,
      });
    }
    if (differences.length === 0) {
      this.printChange({ version: change.baseVersion }, declared);
      return EXIT_CODES.ok;
    }
    const applied = await client.patchConfig(change);
    if (applied.isErr()) return this.printFailure(applied.error);
    this.printChange(applied.value, declared);
    if (!this.json) {
      this.context.stdout.write(
        `version ${applied.value.version} is in force\n`,
      );
    }
    return EXIT_CODES.ok;
  }
}

/** Prints the configuration in force. */
export class ConfigGetCommand extends OperatorCommand {
  static override paths = [["config", "get"]];
  static override usage = Command.Usage({
    category: "Configuration",
    description: "print the configuration in force",
    details:
      `Prints the version and the document; --json gives both as one document. ${EXIT_CODES_HELP}`,
  });

  protected async runCommand(client: OperatorClient): Promise<number> {
    return this.printOutcome(await client.readConfig(), formatConfig);
  }
}

function formatConfig({ version, offset, config }: ConfigState): string {
  const header = `version ${version} (log offset ${offset})\n`;
  return `${header}${JSON.stringify(config, null, 2)}\n`;
}

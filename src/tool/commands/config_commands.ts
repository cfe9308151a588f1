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

/** The patch from the current configuration to the declared one. */
interface DeclaredChange {
  readonly change: ConfigPatch;
  readonly differences: readonly Difference[];
}

abstract class DeclarationsCommand extends OperatorCommand {
  directory = Option.String({ required: true, name: "directory" });

  /** Computes the change; on failure prints it and resolves with the exit code. */
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
      `Reads all .json files in the directory and its subdirectories, merges them and compares the result with the current configuration. Nothing is changed. ${EXIT_CODES_HELP}`,
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

/** Applies the declarations of a directory. */
export class ConfigApplyCommand extends DeclarationsCommand {
  static override paths = [["config", "apply"]];
  static override usage = Command.Usage({
    category: "Configuration",
    description: "apply the declarations of a directory",
    details:
      `Sends the difference as a patch based on the version that it was computed from. If another operator has changed the configuration since, nothing is changed and the exit code is 4. ${EXIT_CODES_HELP}`,
    examples: [[
      "Apply",
      "$0 config apply examples/ferias --note 'add a barn'",
    ]],
  });

  note = Option.String("--note", {
    description: "note for the audit trail",
  });

  baseVersion = Option.String("--base-version", {
    description: "fail unless this version is current",
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
          `--base-version ${this.baseVersion} is not current: the current version is ${change.baseVersion}`,
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
        `version ${applied.value.version} is current\n`,
      );
    }
    return EXIT_CODES.ok;
  }
}

/** Prints the current configuration. */
export class ConfigGetCommand extends OperatorCommand {
  static override paths = [["config", "get"]];
  static override usage = Command.Usage({
    category: "Configuration",
    description: "print the current configuration",
    details:
      `Prints the version and the document; with --json, both as one document. ${EXIT_CODES_HELP}`,
  });

  protected async runCommand(client: OperatorClient): Promise<number> {
    return this.printOutcome(await client.readConfig(), formatConfig);
  }
}

function formatConfig({ version, offset, config }: ConfigState): string {
  const header = `version ${version} (log offset ${offset})\n`;
  return `${header}${JSON.stringify(config, null, 2)}\n`;
}

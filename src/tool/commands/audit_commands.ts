/**
 * Commands that read the audit trail of changes.
 *
 * @module
 */

import { Command, Option } from "clipanion";
import type { AuditEntry } from "../../config/types.ts";
import { EXIT_CODES, EXIT_CODES_HELP } from "../exit_codes.ts";
import type { OperatorClient } from "../operator_client.ts";
import { formatTable, formatTime } from "../table.ts";
import { OperatorCommand } from "./operator_command.ts";

const LIMIT_BOUNDS = { min: 1, max: 1_000 };
const DEFAULT_LIMIT = "20";
const MAX_PATCH_CHARS = 60;

abstract class AuditTrailCommand extends OperatorCommand {
  limit = Option.String("--limit", DEFAULT_LIMIT, {
    description:
      `number of entries, 1 to ${LIMIT_BOUNDS.max}; ${DEFAULT_LIMIT} by default`,
  });

  protected abstract includes(entry: AuditEntry): boolean;
  protected abstract format(entries: readonly AuditEntry[]): string;

  protected async runCommand(client: OperatorClient): Promise<number> {
    const limit = this.parseInteger(this.limit, LIMIT_BOUNDS);
    if (limit === undefined) {
      return this.printUsageError(
        `--limit "${this.limit}" is not a whole number from 1 to ${LIMIT_BOUNDS.max}`,
      );
    }
    const trail = await client.readAudit(limit);
    if (trail.isErr()) return this.printFailure(trail.error);
    const entries = trail.value.entries.filter((entry) => this.includes(entry));
    this.print({ entries }, () => this.format(entries));
    return EXIT_CODES.ok;
  }
}

/** Lists every change asked for, whatever became of it. */
export class AuditCommand extends AuditTrailCommand {
  static override paths = [["audit"]];
  static override usage = Command.Usage({
    category: "Configuration",
    description: "list every change asked for, the newest first",
    details:
      `Shows who asked for what against which version, and whether it was accepted. ${EXIT_CODES_HELP}`,
  });

  protected includes(): boolean {
    return true;
  }

  protected format(entries: readonly AuditEntry[]): string {
    const headings = ["OFFSET", "TIME", "OPERATOR", "BASE", "RESULT", "PATCH"];
    return formatTable(
      headings,
      entries.map((entry) => [
        String(entry.offset),
        formatTime(entry.atWallMs),
        entry.operator,
        String(entry.baseVersion),
        entry.result,
        truncate(JSON.stringify(entry.patch)),
      ]),
    );
  }
}

/** Lists the versions that were in force. */
export class ConfigHistoryCommand extends AuditTrailCommand {
  static override paths = [["config", "history"]];
  static override usage = Command.Usage({
    category: "Configuration",
    description: "list the versions, the newest first",
    details:
      `Lists the accepted changes among the newest entries of the audit trail. ${EXIT_CODES_HELP}`,
  });

  protected includes(entry: AuditEntry): boolean {
    return entry.result === "accepted";
  }

  protected format(entries: readonly AuditEntry[]): string {
    return formatTable(
      ["VERSION", "TIME", "OPERATOR", "NOTE"],
      entries.map((entry) => [
        String(entry.version),
        formatTime(entry.atWallMs),
        entry.operator,
        entry.note ?? "",
      ]),
    );
  }
}

function truncate(text: string): string {
  if (text.length <= MAX_PATCH_CHARS) return text;
  return `${text.slice(0, MAX_PATCH_CHARS - 3)}...`;
}

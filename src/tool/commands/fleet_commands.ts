/**
 * Commands about hosts, targets and requests.
 *
 * @module
 */

import { Command, Option } from "clipanion";
import { notRun } from "../../common/verdict.ts";
import { EXIT_CODES, EXIT_CODES_HELP } from "../exit_codes.ts";
import type { OperatorClient, RequestExplanation } from "../operator_client.ts";
import { formatTable, formatTime } from "../table.ts";
import { OperatorCommand } from "./operator_command.ts";

type JsonObject = Record<string, unknown>;

/** Prints what one host knows of the fleet. */
export class StatusCommand extends OperatorCommand {
  static override paths = [["status"]];
  static override usage = Command.Usage({
    category: "Fleet",
    description: "show what a host knows of the fleet",
    details:
      `Shows the version in force, whether the host is ready, its members and its targets. ${EXIT_CODES_HELP}`,
  });

  protected async runCommand(client: OperatorClient): Promise<number> {
    return this.printOutcome(await client.readStatus(), formatStatus);
  }
}

/** Prints the steps of one request. */
export class ExplainCommand extends OperatorCommand {
  static override paths = [["explain"]];
  static override usage = Command.Usage({
    category: "Fleet",
    description: "show the steps of a request",
    details:
      `Asks the host at --operator-url, which knows only the requests that it served itself. ${EXIT_CODES_HELP}`,
  });

  requestId = Option.String({ required: true, name: "request-id" });

  protected async runCommand(client: OperatorClient): Promise<number> {
    return this.printOutcome(
      await client.explainRequest(this.requestId),
      formatExplanation,
    );
  }
}

/** Empties a target or a host. */
export class DrainCommand extends OperatorCommand {
  static override paths = [["drain"]];
  static override usage = Command.Usage({
    category: "Fleet",
    description: "give a target or a host no new work",
    details:
      `A target is drained through the configuration, on every host; --undo takes it back. A host is drained by the host itself. ${EXIT_CODES_HELP}`,
    examples: [
      ["Drain a target", "$0 drain target etapa-b"],
      ["Take it back", "$0 drain target etapa-b --undo"],
      ["Drain a host", "$0 drain host entry-1"],
    ],
  });

  kind = Option.String({ required: true, name: "target|host" });
  name = Option.String({ required: true });
  undo = Option.Boolean("--undo", false, {
    description: "let a target take new work again",
  });

  protected async runCommand(client: OperatorClient): Promise<number> {
    if (this.kind === "target") return await this.#drainTarget(client);
    if (this.kind !== "host") {
      return this.printUsageError(`"${this.kind}" is neither target nor host`);
    }
    if (this.undo) {
      return this.printUsageError("--undo is for targets; start a host anew");
    }
    return this.printOutcome(
      await client.drainHost(this.name),
      () => `host ${this.name} is draining\n`,
    );
  }

  async #drainTarget(client: OperatorClient): Promise<number> {
    const draining = !this.undo;
    const current = await client.readConfig();
    if (current.isErr()) return this.printFailure(current.error);
    const { version, config } = current.value;
    if (!Object.hasOwn(config.targets, this.name)) {
      return this.printFailure(
        notRun("not-found", `target "${this.name}" does not exist`).error,
      );
    }
    if (config.targets[this.name].draining === draining) {
      this.print({ version, draining }, () => `nothing to change\n`);
      return EXIT_CODES.ok;
    }
    const applied = await client.patchConfig({
      baseVersion: version,
      patch: { targets: { [this.name]: { draining } } },
      note: draining ? `drain ${this.name}` : `end draining ${this.name}`,
    });
    return this.printOutcome(
      applied,
      ({ version }) =>
        `target ${this.name} ${
          draining ? "is draining" : "takes work"
        } from version ${version} on\n`,
    );
  }
}

function formatExplanation(explanation: RequestExplanation): string {
  const rows = explanation.steps.map(({ atWallMs, step, details }) => [
    formatTime(atWallMs),
    step,
    details === undefined ? "" : formatFields(details),
  ]);
  const header =
    `request ${explanation.requestId} at host ${explanation.host}\n`;
  return header + formatTable(["TIME", "STEP", "DETAILS"], rows);
}

/** Members that the tool does not know are printed all the same. */
function formatStatus(status: JsonObject): string {
  const lists = Object.entries(status).filter(([, value]) => isList(value));
  const fields = Object.entries(status).filter(([, value]) => !isList(value));
  const fieldTable = formatTable(
    ["FIELD", "VALUE"],
    fields.map(([key, value]) => [key, formatValue(value)]),
  );
  const tables = lists.map(([key, value]) =>
    `\n${formatList(key, value as JsonObject[])}`
  );
  return [fieldTable, ...tables].join("");
}

function formatList(key: string, items: readonly JsonObject[]): string {
  const columns = [...new Set(items.flatMap((item) => Object.keys(item)))];
  const headings = columns.map((column) => column.toUpperCase());
  const rows = items.map((item) =>
    columns.map((column) => formatValue(item[column]))
  );
  return `${key}\n${formatTable(headings, rows)}`;
}

function isList(value: unknown): boolean {
  return Array.isArray(value) && value.length > 0 &&
    value.every((item) =>
      typeof item === "object" && item !== null && !Array.isArray(item)
    );
}

function formatFields(fields: Readonly<JsonObject>): string {
  return Object.entries(fields)
    .map(([key, value]) => `${key}=${formatValue(value)}`).join(" ");
}

function formatValue(value: unknown): string {
  if (value === undefined) return "";
  return typeof value === "object" ? JSON.stringify(value) : String(value);
}

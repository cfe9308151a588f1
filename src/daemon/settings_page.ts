/**
 * The table of settings on the page for operators, made from the same
 * definitions as the flags and `--help`.
 *
 * @module
 */

import {
  environmentOf,
  flagOf,
  type SettingDefinition,
  SETTINGS,
} from "./settings.ts";

const COLUMN_HEADERS = ["flag", "environment", "meaning", "allowed", "default"];

/** Renders the settings as a markdown table that ends with a newline. */
export function renderSettingsTable(): string {
  const rows = Object.entries(SETTINGS).map(([name, definition]) =>
    settingCells(name, definition)
  );
  return [COLUMN_HEADERS, COLUMN_HEADERS.map(() => "---"), ...rows].map(
    renderRow,
  ).join("");
}

function settingCells(
  name: string,
  definition: SettingDefinition<unknown>,
): string[] {
  return [
    definition.secret ? "none: secret" : code(flagOf(name)),
    code(environmentOf(name)),
    definition.description,
    definition.allowed,
    describeDefault(definition),
  ];
}

function describeDefault(definition: SettingDefinition<unknown>): string {
  if (definition.required) return "required";
  return definition.default ? code(definition.default) : "empty";
}

function code(text: string): string {
  return `\`${text}\``;
}

function renderRow(cells: readonly string[]): string {
  return `| ${cells.join(" | ")} |\n`;
}

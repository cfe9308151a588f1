import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { Cli } from "clipanion";
import { expect, test } from "vitest";
import { createDaemonCommand, describeSetting } from "./command.ts";
import { type SettingDefinition, SETTINGS } from "./settings.ts";
import { renderSettingsTable } from "./settings_page.ts";

const SRC = join(import.meta.dirname, "..");
const PAGE = readFileSync(join(SRC, "../docs/OPERATIONS.md"), "utf8");
const TABLE = /<!-- settings -->\n([^]*?)<!-- \/settings -->/;
const METRIC = /"((?:jackdawshift|process)_[a-z0-9_]+)"/g;
const ALARM = /\blog\.(?:warn|error)\(\s*"([^"]+)"/g;

const sources = readdirSync(SRC, { recursive: true, encoding: "utf8" })
  .filter((file) => file.endsWith(".ts") && !file.endsWith("_test.ts"))
  .map((file) => readFileSync(join(SRC, file), "utf8"));

test("the settings table of the page is the one made from the settings", () => {
  const table = TABLE.exec(PAGE)?.[1] ?? "";
  expect(cellsOf(table)).toEqual(cellsOf(renderSettingsTable()));
});

test("--help tells each setting as the settings describe it", () => {
  const cli = new Cli({ binaryName: "jackdawshiftd", enableColors: false });
  const command = createDaemonCommand(() => Promise.resolve(0));
  cli.register(command);
  const help = words(cli.usage(command, { detailed: true }));
  for (const [name, definition] of Object.entries(SETTINGS)) {
    const setting: SettingDefinition<unknown> = definition;
    expect(help).toContain(words(describeSetting(name, setting)));
  }
});

test.each([["metric", METRIC, 8], ["alarm", ALARM, 4]])(
  "the page explains every %s in the code",
  (_kind, pattern, leastCount) => {
    const named = new Set(
      sources.flatMap((source) =>
        [...source.matchAll(pattern)].map(([, name]) => name)
      ),
    );
    expect(named.size).toBeGreaterThanOrEqual(leastCount);
    for (const name of named) expect(PAGE).toContain(`| \`${name}\``);
  },
);

/** Cells of a table, however it is padded. */
function cellsOf(table: string): string[][] {
  return table.split("\n").filter((line) => /^\|(?! *-)/.test(line))
    .map((line) => line.split("|").map((cell) => cell.trim()));
}

function words(text: string): string {
  return text.replace(/\s+/g, " ");
}

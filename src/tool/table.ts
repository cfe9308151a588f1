/**
 * Tables for people.
 *
 * @module
 */

/** Aligns `rows` below `heads`; ends with a newline. */
export function formatTable(
  headings: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const lines = [headings, ...rows];
  const widths = headings.map((_, column) =>
    Math.max(...lines.map((line) => (line[column] ?? "").length))
  );
  return lines.map((line) => formatLine(line, widths)).join("");
}

function formatLine(
  line: readonly string[],
  widths: readonly number[],
): string {
  const cells = widths.map((width, column) =>
    (line[column] ?? "").padEnd(width)
  );
  return `${cells.join("  ").trimEnd()}\n`;
}

/** Writes a time for a table. */
export function formatTime(atWallMs: number): string {
  return new Date(atWallMs).toISOString();
}

/**
 * Tables of measured values, and rows that show a fitted line.
 *
 * @module
 */

import { fitLine, type Point } from "./linear_fit.ts";

/** Prints a table whose first line holds the heads. */
export function printRows(
  rows: readonly (readonly (string | number)[])[],
): void {
  const [headings, ...rest] = rows;
  console.log(`| ${headings.join(" | ")} |`);
  console.log(`|${" --- |".repeat(headings.length)}`);
  for (const row of rest) console.log(`| ${row.map(format).join(" | ")} |`);
}

/** A row of a table: name, slope, intercept and largest residual. */
export function fitRow(name: string, points: readonly Point[]): string[] {
  const { slope, intercept, maxResidual } = fitLine(points);
  return [name, slope, intercept, maxResidual].map(format);
}

function format(value: string | number): string {
  if (typeof value === "string") return value;
  if (value === 0 || Number.isInteger(value)) return String(value);
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3);
}

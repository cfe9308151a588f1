/**
 * Prints Markdown tables of measured values, and formats line fits as rows.
 *
 * @module
 */

import { fitLine, type Point } from "./linear_fit.ts";

/** Prints a table; the first row holds the column headings. */
export function printRows(
  rows: readonly (readonly (string | number)[])[],
): void {
  const [headings, ...rest] = rows;
  console.log(`| ${headings.join(" | ")} |`);
  console.log(`|${" --- |".repeat(headings.length)}`);
  for (const row of rest) console.log(`| ${row.map(format).join(" | ")} |`);
}

/** Fits a line and returns name, slope, intercept and largest residual. */
export function fitRow(name: string, points: readonly Point[]): string[] {
  const { slope, intercept, maxResidual } = fitLine(points);
  return [name, slope, intercept, maxResidual].map(format);
}

function format(value: string | number): string {
  if (typeof value === "string") return value;
  if (value === 0 || Number.isInteger(value)) return String(value);
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3);
}

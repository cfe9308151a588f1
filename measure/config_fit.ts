/**
 * Straight lines through measured points, and tables of them.
 *
 * @module
 */

/** One measured point. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** The line of least squares, and the largest distance of a point from it. */
export interface Fit {
  readonly slope: number;
  readonly intercept: number;
  readonly residual: number;
}

export function fitLine(points: readonly Point[]): Fit {
  const meanX = mean(points.map(({ x }) => x));
  const meanY = mean(points.map(({ y }) => y));
  const spread = points.map(({ x }) => (x - meanX) ** 2);
  const product = points.map(({ x, y }) => (x - meanX) * (y - meanY));
  const slope = mean(product) / mean(spread);
  const intercept = meanY - slope * meanX;
  const distances = points.map(({ x, y }) =>
    Math.abs(y - intercept - slope * x)
  );
  return { slope, intercept, residual: Math.max(...distances) };
}

/** Prints a table whose first line holds the heads. */
export function printRows(
  rows: readonly (readonly (string | number)[])[],
): void {
  const [heads, ...rest] = rows;
  console.log(`| ${heads.join(" | ")} |`);
  console.log(`|${" --- |".repeat(heads.length)}`);
  for (const row of rest) console.log(`| ${row.map(format).join(" | ")} |`);
}

/** Names a fit for a table. */
export function describeFit(name: string, points: readonly Point[]): string[] {
  const { slope, intercept, residual } = fitLine(points);
  return [name, slope, intercept, residual].map(format);
}

function format(value: string | number): string {
  if (typeof value === "string") return value;
  if (value === 0 || Number.isInteger(value)) return String(value);
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3);
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

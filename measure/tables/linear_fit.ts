/**
 * Least-squares line fits of measured points, as printed in the result tables.
 *
 * @module
 */

export interface Point {
  readonly x: number;
  readonly y: number;
}

export interface LinearFit {
  readonly slope: number;
  readonly intercept: number;
  /** Largest absolute residual, in the unit of `y`. */
  readonly maxResidual: number;
}

/** Fits `y = intercept + slope * x`. */
export function fitLine(points: readonly Point[]): LinearFit {
  const meanX = mean(points.map((point) => point.x));
  const meanY = mean(points.map((point) => point.y));
  const covariance = mean(points.map(({ x, y }) => (x - meanX) * (y - meanY)));
  const variance = mean(points.map(({ x }) => (x - meanX) ** 2));
  const slope = covariance / variance;
  const intercept = meanY - slope * meanX;
  const residuals = points.map(({ x, y }) =>
    Math.abs(y - intercept - slope * x)
  );
  return { slope, intercept, maxResidual: Math.max(...residuals) };
}

/** Formats a fit as one line of text. */
export function describeFit(name: string, fit: LinearFit, digits = 3): string {
  const [slope, intercept, residual] = [
    fit.slope,
    fit.intercept,
    fit.maxResidual,
  ]
    .map((value) => value.toPrecision(digits));
  return `${name}: ${intercept} + ${slope} x, largest residual ${residual}`;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** A measured point. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A straight line fitted by least squares. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
  /** Coefficient of determination (R²), 0 to 1. */
  readonly determination: number;
}

export function fitLine(points: readonly Point[]): Line {
  const meanX = points.reduce((sum, point) => sum + point.x, 0) / points.length;
  const meanY = points.reduce((sum, point) => sum + point.y, 0) / points.length;
  const varianceX = points.reduce((sum, point) => sum + (point.x - meanX) ** 2, 0);
  const varianceY = points.reduce((sum, point) => sum + (point.y - meanY) ** 2, 0);
  const covariance = points.reduce((sum, point) => sum + (point.x - meanX) * (point.y - meanY), 0);
  const slope = covariance / varianceX;
  const determination = varianceY === 0 ? 1 : covariance ** 2 / (varianceX * varianceY);
  return { slope, intercept: meanY - slope * meanX, determination };
}

/** Exponent b of the power law y = a x^b, fitted by least squares on logarithmic scales. */
export function fitExponent(points: readonly Point[]): number {
  return fitLine(points.map(({ x, y }) => ({ x: Math.log(x), y: Math.log(y) }))).slope;
}

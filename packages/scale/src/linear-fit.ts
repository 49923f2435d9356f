/**
 * Least-squares fit of a straight line.
 *
 * @module
 */
import { linearRegression, rSquared } from 'simple-statistics';

/** A straight line fitted to points. */
export interface LinearFit {
  readonly base: number;
  readonly slope: number;
  /** Root mean square of the vertical distances of the points from the line. */
  readonly residual: number;
  readonly r2: number;
  /** Smallest value of the driver among the points. */
  readonly minDriver: number;
  /** Largest value of the driver among the points. */
  readonly maxDriver: number;
}

/** Fits value = base + slope x driver to pairs of driver and value; needs at least two points. */
export function fitLine(points: readonly (readonly [number, number])[]): LinearFit {
  const data = points.map(([driver, value]) => [driver, value]);
  const { m: slope, b: base } = linearRegression(data);
  const line = (driver: number): number => base + slope * driver;
  const squares = points.map(([driver, value]) => (value - line(driver)) ** 2);
  const residual = Math.sqrt(squares.reduce((a, b) => a + b, 0) / Math.max(1, points.length));
  const drivers = points.map(([driver]) => driver);
  return {
    base,
    slope,
    residual,
    r2: rSquared(data, line),
    minDriver: Math.min(...drivers),
    maxDriver: Math.max(...drivers),
  };
}

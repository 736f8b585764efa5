/**
 * Fits straight lines to measured points, and propagates the standard errors
 * through sums and products.
 *
 * @module
 */

/** A value measured at one size. */
export interface Point {
  readonly size: number
  readonly value: number
}

/** A figure with its standard error, both in the same unit. */
export interface Estimate {
  readonly value: number
  readonly error: number
}

/** A fitted line: `value = intercept + slope * size`. */
export interface Line {
  /** Change of the value per unit of size. */
  readonly slope: Estimate
  /** Value of the line at size 0. */
  readonly intercept: number
  /**
   * Evaluates the line.
   *
   * @param size - any size, also outside the measured ones
   * @returns the value of the line at that size with its standard error
   */
  readonly at: (size: number) => Estimate
}

const MIN_POINTS = 3
const FITTED_PARAMETERS = 2

/**
 * Fits a line by least squares.
 *
 * @param points - at least three points of at least two different sizes
 * @returns the fitted line
 * @throws RangeError when there are fewer than three points, or all have the same size
 */
export function fitLine (points: readonly Point[]): Line {
  const count = points.length
  if (count < MIN_POINTS) throw new RangeError(`cannot fit a line with a standard error to ${count} points`)
  const meanSize = meanOf(points.map(({ size }) => size))
  const meanValue = meanOf(points.map(({ value }) => value))
  const sizeSquares = sumOf(points.map(({ size }) => (size - meanSize) ** 2))
  if (sizeSquares === 0) throw new RangeError('all points have the same size')
  const slope = sumOf(points.map(({ size, value }) => (size - meanSize) * (value - meanValue))) / sizeSquares
  const intercept = meanValue - slope * meanSize
  const residuals = sumOf(points.map(({ size, value }) => (value - intercept - slope * size) ** 2))
  const variance = residuals / (count - FITTED_PARAMETERS)
  return {
    slope: { value: slope, error: Math.sqrt(variance / sizeSquares) },
    intercept,
    at: (size) => ({
      value: intercept + slope * size,
      error: Math.sqrt(variance * (1 / count + (size - meanSize) ** 2 / sizeSquares))
    })
  }
}

/**
 * Creates an estimate without error.
 *
 * @param value - an exact figure
 * @returns the estimate
 */
export function exactly (value: number): Estimate {
  return { value, error: 0 }
}

/**
 * Multiplies an estimate by a factor.
 *
 * @param estimate - figure with its standard error
 * @param factor - an exact factor
 * @returns the product
 */
export function times (estimate: Estimate, factor: number): Estimate {
  return { value: estimate.value * factor, error: Math.abs(estimate.error * factor) }
}

/**
 * Adds independent estimates.
 *
 * @param estimates - figures in the same unit
 * @returns the sum; its error is the root of the sum of squared errors
 */
export function plus (...estimates: readonly Estimate[]): Estimate {
  return {
    value: sumOf(estimates.map(({ value }) => value)),
    error: Math.sqrt(sumOf(estimates.map(({ error }) => error ** 2)))
  }
}

/**
 * Returns the median.
 *
 * @param values - at least one value
 * @returns the median; for an even number of values the upper one of the middle two
 */
export function medianOf (values: readonly number[]): number {
  return [...values].sort((left, right) => left - right)[values.length >> 1]
}

function meanOf (values: readonly number[]): number {
  return sumOf(values) / values.length
}

function sumOf (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0)
}

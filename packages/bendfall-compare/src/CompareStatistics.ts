/**
 * Computes the mean difference of paired measurements and its confidence interval.
 *
 * @module
 */
import jstat from 'jstat'

/** Confidence level of the interval. */
const CONFIDENCE = 0.95

/** Mean difference with its confidence interval. */
export interface PairedDifference {
  /** Number of pairs. */
  readonly pairs: number
  readonly mean: number
  /** Half the width of the interval; infinite for fewer than two pairs. */
  readonly halfWidth: number
  /** Whether the interval includes zero. */
  readonly isNoise: boolean
}

/**
 * Computes the mean of differences and its confidence interval from Student's t distribution.
 *
 * @param differences - one difference for each pair
 * @returns the mean and its interval
 */
export function pairedDifference (differences: readonly number[]): PairedDifference {
  const pairs = differences.length
  const mean = differences.reduce((sum, value) => sum + value, 0) / Math.max(1, pairs)
  const halfWidth = pairs < 2 ? Infinity : jstat.studentt.inv((1 + CONFIDENCE) / 2, pairs - 1) * standardError(differences, mean)
  return { pairs, mean, halfWidth, isNoise: Math.abs(mean) <= halfWidth }
}

function standardError (values: readonly number[], mean: number): number {
  const squaredDeviations = values.reduce((sum, value) => sum + (value - mean) ** 2, 0)
  return Math.sqrt(squaredDeviations / (values.length - 1) / values.length)
}

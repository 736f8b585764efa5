/**
 * Mean difference of paired measurements and how sure it is.
 *
 * @module
 */
import jstat from 'jstat'

/** Probability with which the interval holds the true mean difference. */
const CONFIDENCE = 0.95

/** A mean difference with its interval. */
export interface PairedDifference {
  readonly pairs: number
  readonly mean: number
  /** Half of the interval; infinite for fewer than two pairs. */
  readonly halfWidth: number
  /** Whether the interval covers zero. */
  readonly isNoise: boolean
}

/**
 * Works out the mean of differences with its interval by Student's t.
 *
 * @param differences - one a pair
 * @returns the mean and its interval
 */
export function pairedDifference (differences: readonly number[]): PairedDifference {
  const pairs = differences.length
  const mean = differences.reduce((sum, value) => sum + value, 0) / Math.max(1, pairs)
  const halfWidth = pairs < 2 ? Infinity : jstat.studentt.inv((1 + CONFIDENCE) / 2, pairs - 1) * standardError(differences, mean)
  return { pairs, mean, halfWidth, isNoise: Math.abs(mean) <= halfWidth }
}

function standardError (values: readonly number[], mean: number): number {
  const squares = values.reduce((sum, value) => sum + (value - mean) ** 2, 0)
  return Math.sqrt(squares / (values.length - 1) / values.length)
}

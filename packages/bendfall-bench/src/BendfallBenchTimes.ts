/**
 * Percentiles of times, by hdr-histogram.
 *
 * @module
 */
import { createRequire } from 'node:module'
import type * as HdrHistogram from 'hdr-histogram-js'

// The package's ES module build lacks file extensions, which Node refuses.
const { build } = createRequire(import.meta.url)('hdr-histogram-js') as typeof HdrHistogram

/** Percentiles of times. */
export interface TimeSummary {
  readonly p50Us: number
  readonly p99Us: number
}

/** Collects times. */
export interface Times {
  readonly record: (elapsedMs: number) => void
  readonly summarize: () => TimeSummary
}

const NS_PER_MS = 1e6
const NS_PER_US = 1e3
const HIGHEST_NS = 1e9

/**
 * Creates an empty collection of times.
 *
 * @returns the collection
 */
export function createTimes (): Times {
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_NS, numberOfSignificantValueDigits: 3 })
  const percentileUs = (percentile: number) => histogram.getValueAtPercentile(percentile) / NS_PER_US
  return {
    record: (elapsedMs) => histogram.recordValue(Math.min(HIGHEST_NS, Math.round(elapsedMs * NS_PER_MS))),
    summarize: () => ({ p50Us: percentileUs(50), p99Us: percentileUs(99) })
  }
}

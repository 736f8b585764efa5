/**
 * Observed error of forecast waits. A request is refused at arrival unless it is very likely to be
 * served in time; one that already waits is refused only once it is very unlikely.
 *
 * @module
 */

/** Range of the ratio of actual to forecast waits. */
export interface ForecastError {
  /** Ratio that few waits fall below. */
  lowRatio: number
  /** Ratio that few waits exceed. */
  highRatio: number
  /** When a wait was last recorded. */
  recordedAtMs: number
}

/** Share of the waits beyond each end of the range. */
const TAIL_SHARE = 0.02

/** Change of an end of the range for a wait beyond it. */
const STEP = 0.1

/** Minimum time between two waits that count: those that end together have the same cause. */
const MIN_INTERVAL_MS = 20

/** Forecasts below this say little about the error: timers and events are not much finer. */
const MIN_FORECAST_MS = 10

/** Bounds of the range. */
const MIN_RATIO = 0.25
const MAX_RATIO = 4

/** @returns an error of which nothing is known yet: forecasts are taken as they are */
export function createForecastError (): ForecastError {
  return { lowRatio: 1, highRatio: 1, recordedAtMs: -Infinity }
}

/**
 * Records how long a wait took. Each end of the range is a quantile that is tracked step by step.
 *
 * @param error - changed in place
 * @param forecastMs - wait that was forecast when it began
 * @param actualMs - wait as it was; Infinity for one that was given up
 * @param nowMs - current time
 */
export function recordWait (error: ForecastError, forecastMs: number, actualMs: number, nowMs: number): void {
  if (forecastMs < MIN_FORECAST_MS || forecastMs === Infinity || nowMs - error.recordedAtMs < MIN_INTERVAL_MS) return
  error.recordedAtMs = nowMs
  const ratio = actualMs / forecastMs
  error.highRatio = clamp(error.highRatio + STEP * (ratio > error.highRatio ? 1 - TAIL_SHARE : -TAIL_SHARE))
  error.lowRatio = Math.min(error.highRatio, clamp(error.lowRatio + STEP * (ratio < error.lowRatio ? TAIL_SHARE - 1 : TAIL_SHARE)))
}

function clamp (ratio: number): number {
  return Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio))
}

/**
 * Returns a time that a wait is unlikely to exceed.
 *
 * @param error - observed error
 * @param forecastMs - forecast wait
 * @returns milliseconds
 */
export function latestWaitMs ({ highRatio }: ForecastError, forecastMs: number): number {
  return forecastMs === Infinity ? Infinity : forecastMs * highRatio
}

/**
 * Returns a time below which a wait is unlikely to end.
 *
 * @param error - observed error
 * @param forecastMs - forecast wait
 * @returns milliseconds
 */
export function earliestWaitMs ({ lowRatio }: ForecastError, forecastMs: number): number {
  return forecastMs === Infinity ? Infinity : forecastMs * lowRatio
}

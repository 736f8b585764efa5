/**
 * Output rate of a decode replica over the last second, which entries compare between replicas. It is
 * slower than the rate of the memory forecast, of which one report decides two thirds while a dozen
 * requests run.
 *
 * @module
 */

/** Time constant of the average: a slowdown shows within a second and is forgotten within three. */
const MEMORY_MS = 1_000

/** Observation below which no rate is reported, so that a single report, of 50 ms, does not decide. */
const MIN_OBSERVED_MS = 250

/** Age at which a rate is no longer reported: a replica that runs nothing must be tried again. */
const MAX_AGE_MS = 3_000

/** An average with the time that it covers. */
export interface OutputRate {
  readonly tokensPerMs: number
  readonly observedMs: number
  readonly observedAtMs: number
}

/**
 * Adds an interval between two reports.
 *
 * @param rate - average before; absent before the first interval
 * @param tokensPerMs - mean output rate of one run in the interval
 * @param elapsedMs - length of the interval
 * @param nowMs - end of the interval
 * @returns the new average
 */
export function learnOutputRate (rate: OutputRate | undefined, tokensPerMs: number, elapsedMs: number, nowMs: number): OutputRate {
  if (rate === undefined || nowMs - rate.observedAtMs > MAX_AGE_MS) return { tokensPerMs, observedMs: elapsedMs, observedAtMs: nowMs }
  const observedMs = rate.observedMs + elapsedMs
  const weight = Math.max(elapsedMs / observedMs, 1 - Math.exp(-elapsedMs / MEMORY_MS))
  return { tokensPerMs: rate.tokensPerMs + weight * (tokensPerMs - rate.tokensPerMs), observedMs, observedAtMs: nowMs }
}

/**
 * Returns the rate to report.
 *
 * @param rate - average, if anything ran
 * @param nowMs - current time
 * @returns tokens per millisecond of one run; undefined if too little is known, or it is too old
 */
export function currentOutputRate (rate: OutputRate | undefined, nowMs: number): number | undefined {
  if (rate === undefined || rate.observedMs < MIN_OBSERVED_MS || nowMs - rate.observedAtMs > MAX_AGE_MS) return undefined
  return rate.tokensPerMs
}

/**
 * Notices that the machine may have been suspended. The monotonic clock of the process does
 * not count that time, the time of day does; but that jumps by itself as well.
 *
 * @module
 */
import type { Clock } from './BendfallNodeClock.js'

/** A smaller difference is a correction of the time of day. */
const LEAST_AHEAD_MS = 250

/**
 * Starts to compare the clocks.
 *
 * @param clock - of the process
 * @returns function that tells by how many milliseconds the time of day ran ahead of the
 * monotonic clock since it was last called; 0 when it did not
 */
export function createSuspensionWatch (clock: Clock): () => number {
  let differenceMs = clock.wallMs() - clock.nowMs()
  return () => {
    const nowMs = clock.wallMs() - clock.nowMs()
    const aheadMs = nowMs - differenceMs
    // Small corrections add up, so that only those that are told begin anew.
    if (aheadMs >= 0 && aheadMs < LEAST_AHEAD_MS) return 0
    differenceMs = nowMs
    return Math.max(0, aheadMs)
  }
}

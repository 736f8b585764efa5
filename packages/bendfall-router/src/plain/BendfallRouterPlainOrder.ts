/**
 * Order of the calls that wait in an entry for a place at a plain replica: by priority, then those
 * that can still meet the latency target of their route, by target, then late ones, by deadline.
 *
 * @module
 */

/** A call that waits. */
export interface WaitingCall {
  /** Lower values are served first. */
  readonly priority: number
  readonly deadlineAtMs: number
  /** When its answer is due by the latency target of its route. */
  readonly targetAtMs: number
  /** Whether its answer is not expected by then. A call that becomes late changes its place. */
  readonly isLate: boolean
}

/**
 * Compares two calls.
 *
 * @param one - call that waits
 * @param other - call that waits
 * @returns negative if the first is served first, 0 if the one that came first is
 */
export function compareCalls (one: WaitingCall, other: WaitingCall): number {
  return one.priority - other.priority || Number(one.isLate) - Number(other.isLate) || dueAtMs(one) - dueAtMs(other)
}

function dueAtMs ({ deadlineAtMs, isLate, targetAtMs }: WaitingCall): number {
  return isLate ? deadlineAtMs : targetAtMs
}

/**
 * Returns the number of waiting calls that are served before a new one.
 *
 * @param waiting - calls in their order
 * @param call - new call
 * @returns index at which it is to be inserted
 */
export function positionOf (waiting: readonly WaitingCall[], call: WaitingCall): number {
  let [low, high] = [0, waiting.length]
  while (low < high) {
    const middle = (low + high) >>> 1
    if (compareCalls(waiting[middle] as WaitingCall, call) <= 0) low = middle + 1
    else high = middle
  }
  return low
}

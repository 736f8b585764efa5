/**
 * Pauses between tries.
 *
 * @module
 */
import type { Clock } from './BendfallNodeClock.js'

/**
 * Length of the pause after a failed try; doubles with each try.
 *
 * @param firstMs - pause after the first try
 * @param longestMs - longest pause
 * @param tried - tries before the one that failed
 * @returns pause in milliseconds
 */
export function backoffMs (firstMs: number, longestMs: number, tried: number): number {
  return Math.min(longestMs, firstMs * 2 ** tried)
}

/**
 * Waits.
 *
 * @param clock - source of time
 * @param waitMs - length of the wait
 * @param signal - ends the wait early
 * @returns resolves after the wait
 */
export function pause (clock: Clock, waitMs: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted === true) return resolve()
    const cancel = clock.callAt(clock.nowMs() + waitMs, finish)
    signal?.addEventListener('abort', finish, { once: true })

    function finish (): void {
      cancel()
      signal?.removeEventListener('abort', finish)
      resolve()
    }
  })
}

/**
 * Time as the runtime sees it; tests put a virtual clock in its place.
 *
 * @module
 */

/** Source of time and timers. */
export interface Clock {
  /** Monotonic time in milliseconds; never compared between processes. */
  readonly nowMs: () => number
  /** Wall-clock time in milliseconds since 1970. */
  readonly wallMs: () => number
  /**
   * Calls back once at a monotonic time.
   *
   * @returns teardown that cancels the call
   */
  readonly callAt: (atMs: number, callback: () => void) => () => void
}

/**
 * Makes the clock of a real process.
 *
 * @returns a clock on `performance.now`, `Date.now` and `setTimeout`
 */
export function createSystemClock (): Clock {
  const nowMs = (): number => performance.now()
  return {
    nowMs,
    wallMs: () => Date.now(),
    callAt: (atMs, callback) => {
      const timer = setTimeout(callback, Math.max(0, atMs - nowMs()))
      return () => clearTimeout(timer)
    }
  }
}

/** Clock of this process, for modules that are given none. */
export const systemClock: Clock = createSystemClock()

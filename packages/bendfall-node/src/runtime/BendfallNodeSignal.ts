/**
 * Wakes what waits for a change, whatever changed.
 *
 * @module
 */
import type { Clock } from './BendfallNodeClock.js'
import { pause } from './BendfallNodePause.js'

/** Wakes waits. */
export interface Signal {
  /** Ends all waits under way. */
  readonly notify: () => void
  /**
   * @param waitMs - longest wait
   * @param aborted - ends the wait too
   * @returns resolves at the next notification, or after the wait
   */
  readonly wait: (waitMs: number, aborted?: AbortSignal) => Promise<void>
}

/**
 * Makes a signal.
 *
 * @param clock - source of time
 * @returns the signal
 */
export function createSignal (clock: Clock): Signal {
  const waiting = new Set<AbortController>()
  return {
    notify: () => { for (const wait of [...waiting]) wait.abort() },
    wait: async (waitMs, aborted) => {
      const wait = new AbortController()
      const end = (): void => wait.abort()
      waiting.add(wait)
      aborted?.addEventListener('abort', end, { once: true })
      if (aborted?.aborted !== true) await pause(clock, waitMs, wait.signal)
      aborted?.removeEventListener('abort', end)
      waiting.delete(wait)
    }
  }
}

/**
 * Whether work is in flight.
 *
 * @module
 */
import type { SidecarState } from './BendfallCoreSidecarState.js'

/**
 * Longest time that a drain waits for work in flight, long enough for the
 * longest output. What is left then is given up.
 */
export const DRAIN_LIMIT_MS = 120_000

/**
 * Tells whether nothing is in flight.
 *
 * @param sidecar - the slice
 * @returns true when neither engine nor service has work of this sidecar
 */
export function isIdle ({ reservations, releasing, prefill, calls }: SidecarState): boolean {
  const hasCalls = calls.running.size > 0 || calls.waiting.interactive.length > 0 || calls.waiting.summary.length > 0
  return reservations.size === 0 && releasing.size === 0 && prefill.running.size === 0 && prefill.waiting.length === 0 && !hasCalls
}

/**
 * Timeouts of calls to peers, which pauses of this process extend.
 *
 * @module
 */
import type { Clock } from './BendfallNodeClock.js'
import type { Teardown } from './BendfallNodeTeardown.js'

/** Intervals that a timeout is divided into; one in which the process stood still is extended. */
const INTERVALS = 4

/** Lower bound of an interval, since more timers would cost more than they tell. */
const MIN_INTERVAL_MS = 20

/** Lateness of a timer from which the process counts as having stood still. */
const PAUSE_MS = 15

/** Maximum time that a pause adds: enough to read a response that has arrived, or for one round trip. */
const MAX_EXTENSION_MS = 100

/** Pauses that extend a timeout at most, so that a process that is always late still times out. */
const MAX_EXTENSIONS = 4

/**
 * Calls back once a peer has not responded in time. The event loop runs timers before it reads
 * sockets, so that after a pause of this process (suspension, garbage collection, lack of processor
 * time) a plain timer would fire although the response has already arrived.
 *
 * @param clock - source of time
 * @param timeoutMs - time without a pause after which the peer counts as silent
 * @param callback - called at most once
 * @returns teardown that cancels the timeout
 */
export function scheduleTimeout (clock: Clock, timeoutMs: number, callback: () => void): Teardown {
  const intervalMs = Math.max(MIN_INTERVAL_MS, timeoutMs / INTERVALS)
  let leftMs = timeoutMs
  let extensionsLeft = MAX_EXTENSIONS
  let cancel: Teardown

  function startInterval (): void {
    const lengthMs = Math.min(leftMs, intervalMs)
    const dueAtMs = clock.nowMs() + lengthMs
    cancel = clock.callAt(dueAtMs, () => endInterval(lengthMs, clock.nowMs() - dueAtMs))
  }

  function endInterval (lengthMs: number, lateMs: number): void {
    leftMs -= lengthMs
    if (lateMs >= PAUSE_MS && extensionsLeft > 0) {
      extensionsLeft -= 1
      leftMs += Math.min(lengthMs, MAX_EXTENSION_MS)
    }
    if (leftMs > 0) startInterval()
    else callback()
  }

  startInterval()
  return () => cancel()
}

/**
 * Timeouts of calls to peers that don't count the time in which this process stood still.
 *
 * @module
 */
import type { Clock } from './BendfallNodeClock.js'
import type { Teardown } from './BendfallNodeTeardown.js'

/** Intervals that a timeout is divided into; one in which the process stood still is repeated. */
const INTERVALS = 4

/** Lower bound of an interval, since more timers would cost more than they tell. */
const MIN_INTERVAL_MS = 20

/** Lateness of a timer from which the process counts as having stood still. */
const PAUSE_MS = 15

/** Intervals that are repeated at most, so that a process that is always late still times out. */
const MAX_REPEATED_INTERVALS = 4

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
  let repeatsLeft = MAX_REPEATED_INTERVALS
  let cancel: Teardown

  function startInterval (): void {
    const lengthMs = Math.min(leftMs, intervalMs)
    const dueAtMs = clock.nowMs() + lengthMs
    cancel = clock.callAt(dueAtMs, () => endInterval(lengthMs, clock.nowMs() - dueAtMs))
  }

  function endInterval (lengthMs: number, lateMs: number): void {
    const isRepeated = lateMs >= PAUSE_MS && repeatsLeft > 0
    if (isRepeated) repeatsLeft -= 1
    else leftMs -= lengthMs
    if (leftMs > 0) startInterval()
    else callback()
  }

  startInterval()
  return () => cancel()
}

/**
 * Tells whether the event loop is late: whether data of callers may have been unread in the sockets for some time.
 *
 * @module
 */

/** Readings of the runtime. */
export interface LoopReadings {
  readonly nowMs: () => number
  /** Returns the total time for which the event loop has waited for events. */
  readonly idleMs: () => number
  /** Calls back after the current poll phase. */
  readonly callAfterPoll: (callback: () => void) => void
}

/** Delay of the event loop. */
export interface LoopDelay {
  /** @returns whether a connection that is accepted now may have waited for longer than `MAX_UNREAD_MS`, with what was sent on it */
  readonly isAcceptLate: () => boolean
  /** @returns whether a close may have been unread for longer than `MAX_UNREAD_MS`: turns of the loop are long, or the process was paused */
  readonly isLate: () => boolean
  /**
   * Returns how long data that is read now has been unread at least: since the poll phase began, when all the data that it
   * reports had arrived. Called once for each read.
   *
   * @returns milliseconds; 0 while the loop is not late
   */
  readonly observeRead: () => number
  /** @param atMs - when the next timer is due that calls this; a timer that is overdue shows a pause */
  readonly expectTick: (atMs: number) => void
}

/**
 * Time for which a caller's close may be unread without consequence. Two fifths of the 500 ms that may pass between the close
 * and a send, since opening a connection to the replica takes as long again at most.
 */
export const MAX_UNREAD_MS = 200

/**
 * Idle time that shows that the sockets were empty. A poll that returns at once counts as idle for some microseconds.
 */
export const MIN_IDLE_MS = 1

/**
 * Creates the delay of the event loop that calls it. It is computed from samples, which are taken at each call: the loop has
 * been busy since it was last idle, which is at most the time since the previous sample without the idle time in between.
 * While it is busy, a close that is unread has arrived since the poll phase before the current one began, so that a loop
 * with many short turns is not late.
 *
 * @param readings - clock and idle time
 * @returns the delay
 */
export function createLoopDelay ({ callAfterPoll, idleMs, nowMs }: LoopReadings): LoopDelay {
  let sampledAtMs = nowMs()
  let sampledIdleMs = idleMs()
  let busyMs = 0
  let tickAtMs = Infinity
  let pollStartedAtMs: number | undefined
  let isPollMarked = false
  let pollEndedAtMs = -Infinity
  let previousPollEndedAtMs = -Infinity

  function markPoll (): void {
    if (isPollMarked) return
    isPollMarked = true
    callAfterPoll(() => {
      isPollMarked = false
      previousPollEndedAtMs = pollEndedAtMs
      pollEndedAtMs = nowMs()
    })
  }

  function sample (): void {
    const currentMs = nowMs()
    const currentIdleMs = idleMs()
    const addedMs = currentMs - sampledAtMs
    const addedIdleMs = currentIdleMs - sampledIdleMs
    // Short idle times are summed up until they show that the sockets were empty.
    if (addedIdleMs < MIN_IDLE_MS) {
      busyMs += addedMs
      sampledAtMs = currentMs
      return
    }
    busyMs = addedMs - addedIdleMs
    sampledAtMs = currentMs
    sampledIdleMs = currentIdleMs
  }

  function isLate (): boolean {
    sample()
    markPoll()
    const unreadMs = Math.min(busyMs, nowMs() - previousPollEndedAtMs)
    // A process that is paused while it waits for events counts the pause as idle time.
    return unreadMs > MAX_UNREAD_MS || nowMs() - tickAtMs > MAX_UNREAD_MS
  }

  return {
    isAcceptLate: () => {
      sample()
      return busyMs > MAX_UNREAD_MS
    },
    isLate,
    observeRead: () => {
      const readAtMs = nowMs()
      if (pollStartedAtMs === undefined) {
        pollStartedAtMs = readAtMs
        callAfterPoll(() => { pollStartedAtMs = undefined })
      }
      return isLate() ? readAtMs - pollStartedAtMs : 0
    },
    expectTick: (atMs) => {
      sample()
      tickAtMs = atMs
    }
  }
}

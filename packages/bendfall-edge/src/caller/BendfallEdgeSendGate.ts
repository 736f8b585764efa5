/**
 * Withholds sends to replicas whose callers have closed their connections. While the event loop is late, a close may be
 * unread behind the request, so a send waits until all sockets have been read once more.
 *
 * @module
 */

/** Dependencies of the gate. */
export interface SendGateOptions {
  readonly nowMs: () => number
  /** @returns whether a close by the caller of a request may be unread */
  readonly mayBeUnread: (key: string) => boolean
  /** @returns whether a close by the caller of a request has been read */
  readonly hasLeft: (key: string) => boolean
  /** Calls back after the current poll phase; a call from such a callback follows after the next one. */
  readonly callAfterPoll: (callback: () => void) => void
  readonly onDeferred: () => void
  /** Called instead of a send whose caller has left, with the time that it was deferred. */
  readonly onDropped: (key: string, deferredMs: number) => void
}

/** Gate that all sends for callers pass. */
export interface SendGate {
  /**
   * Makes a send now, or after the next complete poll phase if a close may be unread. Deferred sends keep their order.
   *
   * @param key - key of the request
   * @param send - makes the send; receives the milliseconds for which it was deferred
   */
  readonly pass: (key: string, send: (deferredMs: number) => void) => void
  /** Removes the deferred send of a request. */
  readonly cancel: (key: string) => void
  /** Drops the deferred send, if any, of a request whose caller has left. */
  readonly drop: (key: string) => void
  /** Removes all deferred sends. */
  readonly close: () => void
}

interface DeferredSend {
  readonly send: (deferredMs: number) => void
  readonly sinceMs: number
  /** Poll phases that must end before the send, including the current one. */
  polls: number
}

/** The current poll phase, which may have read the caller's socket before the close arrived, and a complete one. */
const AWAITED_POLLS = 2

/** Gate that sends everything at once. */
export const OPEN_GATE: SendGate = { pass: (_, send) => send(0), cancel: () => {}, drop: () => {}, close: () => {} }

/**
 * Creates a gate without deferred sends.
 *
 * @param options - clock, callers, and callbacks
 * @returns the gate
 */
export function createSendGate (options: SendGateOptions): SendGate {
  const { callAfterPoll, hasLeft, mayBeUnread, nowMs, onDeferred, onDropped } = options
  const deferred = new Map<string, DeferredSend>()
  let isScheduled = false

  function schedule (): void {
    if (isScheduled || deferred.size === 0) return
    isScheduled = true
    callAfterPoll(() => {
      isScheduled = false
      release()
      schedule()
    })
  }

  function release (): void {
    const due = [...deferred].filter(([, one]) => --one.polls === 0)
    for (const [key, one] of due) {
      // A send that was made before may have cancelled or replaced this one.
      if (deferred.get(key) !== one) continue
      if (hasLeft(key)) {
        drop(key)
        continue
      }
      deferred.delete(key)
      one.send(nowMs() - one.sinceMs)
    }
  }

  function drop (key: string): void {
    const one = deferred.get(key)
    if (one === undefined) return
    deferred.delete(key)
    onDropped(key, nowMs() - one.sinceMs)
  }

  return {
    pass: (key, send) => {
      deferred.delete(key)
      if (hasLeft(key)) return onDropped(key, 0)
      // While others wait, a later send must not overtake them.
      if (deferred.size === 0 && !mayBeUnread(key)) return send(0)
      deferred.set(key, { send, sinceMs: nowMs(), polls: AWAITED_POLLS })
      onDeferred()
      schedule()
    },
    cancel: (key) => { deferred.delete(key) },
    drop,
    close: () => deferred.clear()
  }
}

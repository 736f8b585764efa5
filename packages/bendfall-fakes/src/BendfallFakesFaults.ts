/**
 * Faults that can be injected into a stand-in, for a number of times or a period.
 *
 * @module
 */

/** Kinds of faults. */
export type FaultMode =
  /** Rejects a call with 503 before it runs. */
  | 'outage'
  /** Delays a call by `delayMs`. */
  | 'slow'
  /** Runs a write and aborts the connection before the response. */
  | 'lose_answer_after_write'
  /** Runs the call and responds with invalid JSON. */
  | 'garbage'
  /** Runs the call and aborts the connection in the middle of the response. */
  | 'half_answer'
  /** A transfer makes no further progress but stays open. */
  | 'stall_transfer'
  /** The engine crashes during a decode: it loses its memory and aborts all streams. */
  | 'crash_decode'
  /** Ignores a cancel and aborts its connection. */
  | 'lose_cancel'

/** A fault to inject. It lasts until the faults are cleared, unless it has a count or a duration. */
export interface Fault {
  readonly mode: FaultMode
  /** Number of calls affected by the fault. */
  readonly count?: number
  /** Time until the fault expires. */
  readonly durationMs?: number
  /** Delay of `slow`. */
  readonly delayMs?: number
  /** Limits the fault to paths with this prefix. */
  readonly pathPrefix?: string
}

/** Active faults of one stand-in. */
export interface FaultInjector {
  readonly add: (fault: Fault) => void
  /** Returns an active fault for a path and counts one use of it; undefined when there is none. */
  readonly consume: (mode: FaultMode, path: string) => Fault | undefined
  readonly reset: () => void
}

interface ActiveFault {
  readonly fault: Fault
  readonly untilMs: number
  remainingCount: number
}

/**
 * Creates a fault injector without faults.
 *
 * @returns the fault injector
 */
export function createFaultInjector (): FaultInjector {
  let active: ActiveFault[] = []

  function consume (mode: FaultMode, path: string): Fault | undefined {
    const nowMs = performance.now()
    active = active.filter((entry) => entry.remainingCount > 0 && entry.untilMs > nowMs)
    const entry = active.find(({ fault }) => fault.mode === mode && path.startsWith(fault.pathPrefix ?? '/'))
    if (entry !== undefined) entry.remainingCount -= 1
    return entry?.fault
  }

  return {
    add: (fault) => {
      const untilMs = performance.now() + (fault.durationMs ?? Infinity)
      active.push({ fault, untilMs, remainingCount: fault.count ?? Infinity })
    },
    consume,
    reset: () => { active = [] }
  }
}

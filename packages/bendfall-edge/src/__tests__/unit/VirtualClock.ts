import type { Clock } from 'bendfall-node'

/** A clock that only advances when a test advances it, independently of real time. */
export interface VirtualClock extends Clock {
  /** Advances the clock and runs the callbacks that become due, each at its scheduled time. */
  readonly advance: (ms: number) => Promise<void>
  /** Advances only the wall clock, as a suspension of the machine or a clock step does. */
  readonly suspend: (ms: number) => void
}

interface Timer {
  readonly atMs: number
  readonly callback: () => void
}

const settle = (): Promise<void> => new Promise((resolve) => { setImmediate(resolve) })

/** Creates a clock that starts at 0. */
export function createVirtualClock (): VirtualClock {
  const timers = new Set<Timer>()
  let now = 0
  let suspendedMs = 0

  function nextTimerUntil (endMs: number): Timer | undefined {
    const dueTimers = [...timers].filter(({ atMs }) => atMs <= endMs)
    return dueTimers.sort((a, b) => a.atMs - b.atMs)[0]
  }

  async function advance (ms: number): Promise<void> {
    const endMs = now + ms
    await settle()
    for (let next = nextTimerUntil(endMs); next !== undefined; next = nextTimerUntil(endMs)) {
      timers.delete(next)
      now = Math.max(now, next.atMs)
      next.callback()
      await settle()
    }
    now = endMs
  }

  return {
    nowMs: () => now,
    wallMs: () => now + suspendedMs,
    callAt: (atMs, callback) => {
      const timer = { atMs, callback }
      timers.add(timer)
      return () => { timers.delete(timer) }
    },
    suspend: (ms) => { suspendedMs += ms },
    advance
  }
}

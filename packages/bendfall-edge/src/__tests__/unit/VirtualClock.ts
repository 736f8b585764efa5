import type { Clock } from 'bendfall-node'

/** A clock that moves only when told, whatever the machine does meanwhile. */
export interface VirtualClock extends Clock {
  /** Runs what falls due within a time, each at its moment. */
  readonly advance: (ms: number) => Promise<void>
  /** Moves the time of day alone, as a suspension of the machine does, or a step. */
  readonly suspend: (ms: number) => void
}

interface Due {
  readonly atMs: number
  readonly callback: () => void
}

const settle = (): Promise<void> => new Promise((resolve) => { setImmediate(resolve) })

/** Makes a clock that stands at 0. */
export function createVirtualClock (): VirtualClock {
  const due = new Set<Due>()
  let now = 0
  let suspendedMs = 0

  function nextBefore (endMs: number): Due | undefined {
    const inTime = [...due].filter(({ atMs }) => atMs <= endMs)
    return inTime.sort((a, b) => a.atMs - b.atMs)[0]
  }

  async function advance (ms: number): Promise<void> {
    const endMs = now + ms
    await settle()
    for (let next = nextBefore(endMs); next !== undefined; next = nextBefore(endMs)) {
      due.delete(next)
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
      const one = { atMs, callback }
      due.add(one)
      return () => { due.delete(one) }
    },
    suspend: (ms) => { suspendedMs += ms },
    advance
  }
}

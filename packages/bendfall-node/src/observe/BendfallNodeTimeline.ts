/**
 * Time line of a process: the newest recorded events, in a bounded ring.
 *
 * @module
 */
import type { EffectOf } from 'bendfall-core'
import type { Runtime } from '../runtime/BendfallNodeRuntime.js'
import type { LamportClock } from './BendfallNodeLamport.js'

/** One event of the time line. */
export interface TimelineEvent {
  readonly instanceId: string
  /** Differs at each start of the process. */
  readonly incarnation: string
  readonly lamport: number
  /** Wall-clock time in milliseconds; for people, never for the order. */
  readonly wallMs: number
  /** Request or intent that the event belongs to. */
  readonly subject: string
  readonly event: string
  readonly fields: Readonly<Record<string, string>>
}

/** Time line of one process. */
export interface Timeline {
  /**
   * Lists kept events from the oldest to the newest.
   *
   * @param subject - request or intent; empty for all
   */
  readonly read: (subject: string) => readonly TimelineEvent[]
  /** Teardown. */
  readonly close: () => void
}

/** Events that a process keeps by default; the oldest go first. */
export const DEFAULT_TIMELINE_EVENTS = 10_000

/**
 * Keeps what the effect `record` tells.
 *
 * @param runtime - update path of the process
 * @param lamport - advanced by each event
 * @param capacity - number of events kept
 * @returns the time line
 */
export function registerTimeline (runtime: Runtime, lamport: Pick<LamportClock, 'tick'>, capacity = DEFAULT_TIMELINE_EVENTS): Timeline {
  const ring: TimelineEvent[] = []
  let oldest = 0

  function keep (effect: EffectOf<'record'>): void {
    const event = createEvent(runtime, lamport.tick(), effect)
    if (ring.length < capacity) {
      ring.push(event)
      return
    }
    ring[oldest] = event
    oldest = (oldest + 1) % capacity
  }

  return {
    read: (subject) => {
      const inOrder = [...ring.slice(oldest), ...ring.slice(0, oldest)]
      return subject === '' ? inOrder : inOrder.filter((event) => event.subject === subject)
    },
    close: runtime.registerEffect('record', keep)
  }
}

function createEvent ({ clock, getState }: Runtime, lamport: number, { event, fields, subject }: EffectOf<'record'>): TimelineEvent {
  const { incarnation, instanceId } = getState().self
  const texts = Object.fromEntries(Object.entries(fields).map(([key, value]) => [key, String(value)]))
  return { instanceId, incarnation, lamport, wallMs: clock.wallMs(), subject, event, fields: texts }
}

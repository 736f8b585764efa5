/**
 * Merges the time lines of several processes in causal order.
 *
 * @module
 */
import { formatLogLine } from './BendfallNodeLogLine.js'
import type { TimelineEvent } from './BendfallNodeTimeline.js'

/** What a formatted time line shows. */
export interface TimelineFormat {
  /** Whether lines show wall-clock time. Default true. */
  readonly withTime?: boolean
}

/**
 * Puts events of several processes into an order in which every cause stands
 * before its effects: by Lamport clock, then by instance, then in the given
 * order. Wall clocks differ between instances and have no say.
 *
 * @param events - events of all processes; those of one process in its order
 * @returns a new list
 */
export function mergeTimelines<T extends Pick<TimelineEvent, 'lamport' | 'instanceId'>> (events: readonly T[]): T[] {
  return [...events].sort((a, b) => a.lamport - b.lamport || compareText(a.instanceId, b.instanceId))
}

/**
 * Formats a time line for a terminal, one line of key=value pairs an event.
 *
 * @param events - events in the order to show
 * @param format - what lines show
 * @returns the lines, without a line feed at the end
 */
export function formatTimeline (events: readonly TimelineEvent[], format: TimelineFormat = {}): string {
  return events.map((event) => formatEvent(event, format)).join('\n')
}

function formatEvent (timelineEvent: TimelineEvent, { withTime = true }: TimelineFormat): string {
  const { event, fields, instanceId: instance, lamport, subject, wallMs } = timelineEvent
  const time = withTime ? new Date(wallMs).toISOString() : undefined
  const head = { lamport, time, instance, subject, event }
  return formatLogLine({ ...head, ...fields, ...head })
}

function compareText (a: string, b: string): number {
  if (a === b) return 0
  return a < b ? -1 : 1
}

/**
 * Aggregates log lines of requests: late responses by the step with the longest
 * wait, and the number of outcomes in each second.
 *
 * @module
 */
import type { LogLine } from './BendfallctlLogLine.js'

/** Maximum number of unfinished requests to track. Beyond it the oldest are dropped, so that a log of any size can be read. */
const MAX_OPEN_REQUESTS = 100_000

/** Maximum time span in seconds to count outcomes for: one day. A longer log has to be split first. */
const MAX_SECONDS = 86_400

const MS_PER_SECOND = 1_000

/** Outcomes of a request, in the order of the table columns; `late` is a complete response that missed its target time. */
export const OUTCOME_COLUMNS = ['answered', 'late', 'refused', 'cut', 'cancelled'] as const

type OutcomeColumn = (typeof OUTCOME_COLUMNS)[number]

/** Number of requests for each outcome that ended in one second. */
export type OutcomesOfSecond = { readonly second: number } & Readonly<Record<OutcomeColumn, number>>

/** Late responses with the same cause. */
export interface LateCause {
  /** Event that ended the longest wait. */
  readonly cause: string
  readonly count: number
  /** Mean duration of that wait. */
  readonly meanMs: number
}

/** Aggregates outcomes from log lines. */
export interface OutcomeRecorder {
  /** Processes the next log line of a request. */
  readonly record: (requestId: string, line: LogLine) => void
  /** @returns causes of late responses, most frequent first */
  readonly late: () => LateCause[]
  /** @returns outcomes by second, counted from the first terminal event; seconds without one are omitted */
  readonly seconds: () => OutcomesOfSecond[]
}

interface OpenRequest {
  lastMs: number
  longestWaitMs: number
  longestWaitEvent: string
  hasStarted: boolean
}

const END_EVENTS: ReadonlySet<string> = new Set(['answered', 'refused', 'cut', 'cancelled'])

/**
 * Creates a recorder.
 *
 * @returns a recorder without any lines
 */
export function createOutcomeRecorder (): OutcomeRecorder {
  const open = new Map<string, OpenRequest>()
  const seconds = new Map<number, Record<OutcomeColumn, number>>()
  const late = new Map<string, { count: number, sumMs: number }>()
  let firstMs: number | undefined

  function updateOpenRequest (requestId: string, { event, timeMs }: LogLine): OpenRequest {
    const request = open.get(requestId) ?? { lastMs: timeMs, longestWaitMs: 0, longestWaitEvent: event, hasStarted: false }
    open.set(requestId, request)
    if (open.size > MAX_OPEN_REQUESTS) open.delete(open.keys().next().value as string)
    const waitedMs = timeMs - request.lastMs
    // Once output has started, delays are gaps within the stream; the response's own log line has the longest one.
    if (!request.hasStarted && waitedMs > request.longestWaitMs) {
      request.longestWaitMs = waitedMs
      request.longestWaitEvent = event
    }
    request.lastMs = timeMs
    request.hasStarted ||= event === 'answer_started'
    return request
  }

  function countOutcome (column: OutcomeColumn, timeMs: number): void {
    firstMs ??= timeMs
    const second = Math.floor((timeMs - firstMs) / MS_PER_SECOND)
    if (Math.abs(second) > MAX_SECONDS) return
    const counts = seconds.get(second) ?? { answered: 0, late: 0, refused: 0, cut: 0, cancelled: 0 }
    counts[column] += 1
    seconds.set(second, counts)
  }

  function countLate ({ longestWaitMs, longestWaitEvent }: OpenRequest): void {
    const cause = late.get(longestWaitEvent) ?? { count: 0, sumMs: 0 }
    late.set(longestWaitEvent, { count: cause.count + 1, sumMs: cause.sumMs + longestWaitMs })
  }

  return {
    record: (requestId, line) => {
      const request = updateOpenRequest(requestId, line)
      if (!END_EVENTS.has(line.event)) return
      const isLate = line.event === 'answered' && line.fields.get('isLate') === 'true'
      countOutcome(isLate ? 'late' : line.event as OutcomeColumn, line.timeMs)
      if (isLate) countLate(request)
      open.delete(requestId)
    },
    late: () => [...late].map(([cause, { count, sumMs }]) => ({ cause, count, meanMs: Math.round(sumMs / count) })).sort((a, b) => b.count - a.count),
    seconds: () => [...seconds].sort(([a], [b]) => a - b).map(([second, counts]) => ({ second, ...counts }))
  }
}

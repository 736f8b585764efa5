/**
 * What was lost over time, from log lines: late answers by the step that took
 * longest, and the outcomes of each second.
 *
 * @module
 */
import type { LogLine } from './BendfallctlLogLine.js'

/** Requests whose end is awaited at most; the oldest are forgotten beyond it, so that a log of any size can be read. */
const MOST_OPEN = 100_000

/** Longest time over which seconds are told apart; a longer log is one of days, to be cut first. */
const MOST_SECONDS = 86_400

const MS_PER_SECOND = 1_000

/** How a request ended, or that its answer was late. */
export const LOSS_COLUMNS = ['answered', 'late', 'refused', 'cut', 'cancelled'] as const

type LossColumn = (typeof LOSS_COLUMNS)[number]

/** Outcomes of the requests that ended in one second. */
export type SecondOfLosses = { readonly second: number } & Readonly<Record<LossColumn, number>>

/** Late answers for one cause. */
export interface LateCause {
  /** Step before which the longest wait lay. */
  readonly cause: string
  readonly count: number
  /** Mean length of that wait. */
  readonly meanMs: number
}

/** Takes the lines of requests and sums them up. */
export interface LossRecorder {
  readonly take: (requestId: string, line: LogLine) => void
  /** @returns causes of late answers, the most frequent first */
  readonly late: () => LateCause[]
  /** @returns seconds from the first end on; those without an end are left out */
  readonly seconds: () => SecondOfLosses[]
}

interface OpenRequest {
  lastMs: number
  longestMs: number
  longestStep: string
  hasBegun: boolean
}

const ENDS: ReadonlySet<string> = new Set(['answered', 'refused', 'cut', 'cancelled'])

/**
 * Makes a recorder.
 *
 * @returns the recorder
 */
export function createLossRecorder (): LossRecorder {
  const open = new Map<string, OpenRequest>()
  const seconds = new Map<number, Record<LossColumn, number>>()
  const late = new Map<string, { count: number, sumMs: number }>()
  let firstMs: number | undefined

  function follow (requestId: string, { event, timeMs }: LogLine): OpenRequest {
    const request = open.get(requestId) ?? { lastMs: timeMs, longestMs: 0, longestStep: event, hasBegun: false }
    open.set(requestId, request)
    if (open.size > MOST_OPEN) open.delete(open.keys().next().value as string)
    const waitedMs = timeMs - request.lastMs
    // After its first event an answer is only slow where a pause is long, which its own line tells.
    if (!request.hasBegun && waitedMs > request.longestMs) {
      request.longestMs = waitedMs
      request.longestStep = event
    }
    request.lastMs = timeMs
    request.hasBegun ||= event === 'answer_started'
    return request
  }

  function countEnd (column: LossColumn, timeMs: number): void {
    firstMs ??= timeMs
    const second = Math.floor((timeMs - firstMs) / MS_PER_SECOND)
    if (Math.abs(second) > MOST_SECONDS) return
    const counts = seconds.get(second) ?? { answered: 0, late: 0, refused: 0, cut: 0, cancelled: 0 }
    counts[column] += 1
    seconds.set(second, counts)
  }

  function countLate ({ longestMs, longestStep }: OpenRequest): void {
    const cause = late.get(longestStep) ?? { count: 0, sumMs: 0 }
    late.set(longestStep, { count: cause.count + 1, sumMs: cause.sumMs + longestMs })
  }

  return {
    take: (requestId, line) => {
      const request = follow(requestId, line)
      if (!ENDS.has(line.event)) return
      const isLate = line.event === 'answered' && line.fields.get('isLate') === 'true'
      countEnd(isLate ? 'late' : line.event as LossColumn, line.timeMs)
      if (isLate) countLate(request)
      open.delete(requestId)
    },
    late: () => [...late].map(([cause, { count, sumMs }]) => ({ cause, count, meanMs: Math.round(sumMs / count) })).sort((a, b) => b.count - a.count),
    seconds: () => [...seconds].sort(([a], [b]) => a - b).map(([second, counts]) => ({ second, ...counts }))
  }
}

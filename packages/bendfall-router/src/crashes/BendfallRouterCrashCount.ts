/**
 * Decides from the crashes under a request whether it is their cause.
 *
 * @module
 */
import type { CrashRecords, ProcessTime } from './BendfallRouterCrashRecords.js'

/** Crashes within this are one event: a zone that loses power ends many replicas under one polled path. */
const SAME_EVENT_MS = 500

/** Crashes under copies that were sent before the first of them was known count as one for this long: time for another copy to be served. */
const DOUBT_MS = 1_000

/** Answers to others between two events that tell of a request; with fewer the service itself may be sick. */
const ANSWERS_BETWEEN = 4

/** Crashes of one request that count. */
export interface CountedCrashes {
  readonly processes: readonly string[]
  /** Whether the request counts as their cause. */
  readonly isCause: boolean
  /** Until it no longer does. */
  readonly lapsesInMs: number
}

const NO_CRASHES: CountedCrashes = { processes: [], isCause: false, lapsesInMs: 0 }

/**
 * Counts the crashes of a request. Many callers may ask for the same at once, so that one
 * that was served of late counts as the cause only of separate events, between which others
 * were served and it was not.
 *
 * @param records - old crashes are forgotten
 * @param fingerprint - of the request
 * @param nowMs - the time
 * @returns the crashes, and whether it is their cause
 */
export function countCrashes (records: CrashRecords, fingerprint: string, nowMs: number): CountedCrashes {
  const { limits, served, suspects } = records
  const crashes = suspects.get(fingerprint)
  if (crashes === undefined) return NO_CRASHES
  for (const [name, { atMs }] of crashes) {
    if (nowMs - atMs >= limits.rememberedMs) crashes.delete(name)
  }
  const times = [...crashes.values()].sort((one, other) => one.atMs - other.atMs)
  const counted = served.has(fingerprint) ? separate(times) : independent(times, nowMs)
  const isCause = counted.length >= limits.replicas
  const lastNeededAtMs = counted[counted.length - limits.replicas]?.atMs ?? -Infinity
  return { processes: [...crashes.keys()], isCause, lapsesInMs: isCause ? lastNeededAtMs + limits.rememberedMs - nowMs : 0 }
}

/**
 * Counts the processes that ended under a request or may have.
 *
 * @param records - of this entry
 * @param fingerprint - of the request
 * @param nowMs - the time
 * @returns crashes, and connections lost of late to processes that were not checked yet
 */
export function countSuspicions (records: CrashRecords, fingerprint: string, nowMs: number): number {
  const unchecked = [...records.lost.values()].filter(({ fingerprints, isAnswering }) => !isAnswering && fingerprints.has(fingerprint)).length
  return countCrashes(records, fingerprint, nowMs).processes.length + unchecked
}

// Copies that were under way at once may have met one cause that is none of theirs, such as the
// loss of a zone; what is sent after a crash is known and crashes again has met the request.
function independent (times: readonly ProcessTime[], nowMs: number): ProcessTime[] {
  let knownAtMs = -Infinity
  return times.filter(({ atMs, sentAtMs }) => {
    if (sentAtMs === undefined || nowMs - atMs >= DOUBT_MS) return true
    if (sentAtMs < knownAtMs) return false
    knownAtMs = atMs
    return true
  })
}

function separate (times: readonly ProcessTime[]): ProcessTime[] {
  const events: ProcessTime[] = []
  for (const time of times) {
    const last = events.at(-1)
    if (last === undefined || (time.atMs - last.atMs >= SAME_EVENT_MS && time.answers - last.answers >= ANSWERS_BETWEEN)) events.push(time)
  }
  return events
}

/**
 * Decides from the crashes under a request whether the request is their cause.
 *
 * @module
 */
import type { CrashObservation, CrashRecords } from './BendfallRouterCrashRecords.js'

/** Crashes within this time count as one event: when a zone loses power, many replicas fail while serving copies of one polled request. */
const MIN_EVENT_GAP_MS = 500

/** For this long, crashes under copies of a request that were sent before the first crash was known count as one, which leaves time for another copy to be served. */
const COPY_GRACE_MS = 1_000

/** Minimum responses to other requests between two separate events; with fewer, the service itself may be failing. */
const MIN_RESPONSES_BETWEEN = 4

/** The crashes under one request, and whether they are attributed to it. */
export interface CountedCrashes {
  readonly processes: readonly string[]
  /** Whether the request counts as their cause. */
  readonly isCause: boolean
  /** Time until it no longer does; 0 if it does not. */
  readonly lapsesInMs: number
}

const NO_CRASHES: CountedCrashes = { processes: [], isCause: false, lapsesInMs: 0 }

/**
 * Counts the crashes under a request. Many callers may send the same request at once, so that one which was
 * recently served counts as the cause only of separate events, between which other requests were served
 * and it was not.
 *
 * @param records - expired crashes of the request are removed
 * @param fingerprint - fingerprint of the request
 * @param nowMs - current time
 * @returns the crashes, and whether the request is their cause
 */
export function countCrashes (records: CrashRecords, fingerprint: string, nowMs: number): CountedCrashes {
  const { limits, served, suspects } = records
  const crashes = suspects.get(fingerprint)
  if (crashes === undefined) return NO_CRASHES
  for (const [name, { atMs }] of crashes) {
    if (nowMs - atMs >= limits.rememberedMs) crashes.delete(name)
  }
  const observations = [...crashes.values()].sort((one, other) => one.atMs - other.atMs)
  const counted = served.has(fingerprint) ? separateEvents(observations) : independentCrashes(observations, nowMs)
  const isCause = counted.length >= limits.replicas
  const lastNeededAtMs = counted[counted.length - limits.replicas]?.atMs ?? -Infinity
  return { processes: [...crashes.keys()], isCause, lapsesInMs: isCause ? lastNeededAtMs + limits.rememberedMs - nowMs : 0 }
}

/**
 * Counts the processes that have ended, or may have ended, under a request.
 *
 * @param records - crash records of this entry
 * @param fingerprint - fingerprint of the request
 * @param nowMs - current time
 * @returns crashes, plus connections recently lost to processes that have not been checked yet
 */
export function countSuspicions (records: CrashRecords, fingerprint: string, nowMs: number): number {
  const unchecked = [...records.lost.values()].filter(({ fingerprints, hasAcceptedConnection }) => !hasAcceptedConnection && fingerprints.has(fingerprint)).length
  return countCrashes(records, fingerprint, nowMs).processes.length + unchecked
}

// Copies in flight at the same time may have been hit by one unrelated cause, such as the loss of a
// zone. A copy that was sent after a crash was known and crashes again points to the request itself.
function independentCrashes (observations: readonly CrashObservation[], nowMs: number): CrashObservation[] {
  let knownAtMs = -Infinity
  return observations.filter(({ atMs, sentAtMs }) => {
    if (sentAtMs === undefined || nowMs - atMs >= COPY_GRACE_MS) return true
    if (sentAtMs < knownAtMs) return false
    knownAtMs = atMs
    return true
  })
}

function separateEvents (observations: readonly CrashObservation[]): CrashObservation[] {
  const events: CrashObservation[] = []
  for (const observation of observations) {
    const last = events.at(-1)
    if (last === undefined || (observation.atMs - last.atMs >= MIN_EVENT_GAP_MS && observation.answers - last.answers >= MIN_RESPONSES_BETWEEN)) events.push(observation)
  }
  return events
}

/**
 * Counts the crashes under requests with one trait.
 *
 * @module
 */
import type { CrashObservation, CrashRecords } from './BendfallRouterCrashRecords.js'

/** Crashes within this time count as one event: when a zone loses power, many replicas fail while serving requests that have a trait in common. */
const MIN_EVENT_GAP_MS = 500

/** For this long, crashes under requests with one trait that were sent before the first crash was known count as one, which leaves time for another copy to be served. */
const COPY_GRACE_MS = 1_000

/** Minimum responses to other requests between two separate events; with fewer, the service itself may be failing. */
const MIN_RESPONSES_BETWEEN = 4

/** The crashes under requests with one trait, and whether they are enough to suspect it as their cause. */
export interface CountedCrashes {
  readonly processes: readonly string[]
  /** Number of those that count. */
  readonly counted: number
  /** Whether the trait is their cause, unless another one explains them. */
  readonly isCause: boolean
  /** Time until it no longer is; 0 if it is not. */
  readonly lapsesInMs: number
}

const NO_CRASHES: CountedCrashes = { processes: [], counted: 0, isCause: false, lapsesInMs: 0 }

/**
 * Counts the crashes under requests with a trait. Many requests in flight may have it, so that one which was
 * recently served counts only for separate events, between which other requests were served and none with it.
 *
 * @param records - expired crashes of the trait are removed
 * @param trait - trait of requests
 * @param nowMs - current time
 * @returns the crashes, and whether the trait is suspected as their cause
 */
export function countCrashes (records: CrashRecords, trait: string, nowMs: number): CountedCrashes {
  const { limits, served, suspects } = records
  const crashes = suspects.get(trait)
  if (crashes === undefined) return NO_CRASHES
  for (const [name, { atMs }] of crashes) {
    if (nowMs - atMs >= limits.rememberedMs) crashes.delete(name)
  }
  const observations = [...crashes.values()].sort((one, other) => one.atMs - other.atMs)
  const counted = served.has(trait) ? separateEvents(observations) : independentCrashes(observations, nowMs)
  const isCause = counted.length >= limits.replicas
  const lastNeededAtMs = counted[counted.length - limits.replicas]?.atMs ?? -Infinity
  return { processes: [...crashes.keys()], counted: counted.length, isCause, lapsesInMs: isCause ? lastNeededAtMs + limits.rememberedMs - nowMs : 0 }
}

/**
 * Counts the processes that have ended, or may have ended, under requests with one of several traits.
 *
 * @param records - crash records of this entry
 * @param traits - traits of a request
 * @param nowMs - current time
 * @returns the most crashes of any of the traits, plus connections recently lost to processes that have not been
 *   checked yet; of a trait that was recently served, only crashes that are separate events
 */
export function countSuspicions (records: CrashRecords, traits: readonly string[], nowMs: number): number {
  const unchecked = [...records.lost.values()].filter(({ hasAcceptedConnection }) => !hasAcceptedConnection)
  return Math.max(0, ...traits.map((trait) => {
    const { counted, processes } = countCrashes(records, trait, nowMs)
    return records.served.has(trait) ? counted : processes.length + unchecked.filter(({ suspects }) => suspects.has(trait)).length
  }))
}

// Requests in flight at the same time may have been hit by one unrelated cause, such as the loss of a
// zone. One that was sent after a crash was known and crashes again points to the trait itself.
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

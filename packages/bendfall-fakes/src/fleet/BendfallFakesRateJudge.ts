/**
 * Judges whether a replica that names a limit got more than the platform allows, by what
 * arrived there and by when each entry had heard of it.
 *
 * @module
 */
import type { FleetReplica, NamedLimit } from './BendfallFakesFleetReplica.js'

/** An answer that an entry passed on to a caller; times are monotonic. */
export interface PassedAnswer {
  readonly requestId: string
  readonly entry: string
  /** When the caller had its head. */
  readonly answeredAtMs: number
  /** Replica that vouches for it; absent: the entry's own answer. */
  readonly replicaId?: string
}

/** What is judged. */
export interface RateEvidence {
  readonly replica: Pick<FleetReplica, 'limits' | 'seen'>
  readonly replicaId: string
  readonly answers: readonly PassedAnswer[]
  /** Arrivals of entries for which this is false are left out. */
  readonly isCounted?: (atMs: number, entry: string) => boolean
}

/** A window with more arrivals than are allowed, if over is above 0. */
export interface RateWindow {
  readonly perS: number
  readonly atMs: number
  readonly arrived: number
  readonly over: number
}

/** The rule: arrivals of a window from entries that had heard of the limit this long before. */
export const RATE_WINDOW_MS = 4_000
const CONTACT_MS = 3_000
const TOLD_MS = 500
const ALLOWED_FACTOR = 1.5
const ALLOWED_BESIDE = 5

/**
 * Finds the window that is furthest over its limit.
 *
 * @param evidence - of one replica
 * @returns the window; undefined when no limit was named for long enough
 */
export function findWorstWindow (evidence: RateEvidence): RateWindow | undefined {
  const windows = evidence.replica.limits.flatMap((limit) => windowsOf(evidence, limit))
  return windows.sort((one, other) => other.over - one.over)[0]
}

function windowsOf ({ answers, isCounted = () => true, replica, replicaId }: RateEvidence, { fromMs, perS, untilMs = Infinity }: NamedLimit): RateWindow[] {
  const entryOf = new Map(answers.map(({ entry, requestId }) => [requestId, entry]))
  const told = new Map<string, number>()
  // One that was answered before the limit was named may be passed on later.
  const sentAfter = new Set(replica.seen.filter(({ atMs }) => atMs >= fromMs && atMs < untilMs).map(({ requestId }) => requestId))
  for (const { answeredAtMs, entry, replicaId: from, requestId } of answers) {
    if (from === replicaId && sentAfter.has(requestId)) told.set(entry, Math.min(answeredAtMs, told.get(entry) ?? Infinity))
  }
  const firstToldMs = Math.min(...told.values())
  const arrivals = replica.seen
    .map(({ atMs, requestId }) => ({ atMs, entry: entryOf.get(requestId) ?? '' }))
    .filter(({ atMs, entry }) => atMs >= (told.get(entry) ?? Infinity) + TOLD_MS && atMs < untilMs && isCounted(atMs, entry))
  const allowed = ALLOWED_FACTOR * perS * RATE_WINDOW_MS / 1_000 + ALLOWED_BESIDE
  return arrivals.filter(({ atMs }) => atMs >= firstToldMs + CONTACT_MS).map(({ atMs }) => {
    const arrived = arrivals.filter((one) => one.atMs > atMs - RATE_WINDOW_MS && one.atMs <= atMs).length
    return { perS, atMs, arrived, over: Math.ceil(arrived - allowed) }
  })
}
